package twirp

import (
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/peer/micros"
	rpc "sardineknot.example/sardineknot/internal/rpc/slots"
)

// jobMessage converts job to a message. FirstTokenDeadline, CallerDeadline and the
// ends of backoffs are sent as durations from now, because the clocks of hosts
// differ.
func jobMessage(job sardineknot.Job, now time.Time) *rpc.Job {
	return &rpc.Job{
		Account:          string(job.Key.Account),
		Request:          string(job.Key.ID),
		Pool:             string(job.Pool),
		Work:             string(job.Work),
		Zone:             string(job.Zone),
		PromptTokens:     int32(job.PromptTokens),
		Prefixes:         job.PrefixHashes,
		MaxTokens:        int32(job.MaxTokens),
		Priority:         int32(job.Priority),
		DeadlineMicros:   job.FirstTokenDeadline.Sub(now).Microseconds(),
		PerTokenMicros:   job.PerToken.Microseconds(),
		Owner:            string(job.Owner),
		OwnerIncarnation: uint64(job.OwnerIncarnation),
		ExpectedTokens:   int32(job.ExpectedTokens),
		PatienceMicros:   job.CallerDeadline.Sub(now).Microseconds(),
		Resumed:          job.Resumed,
		Kept:             string(job.CachedOn),
		SoftwareVersion:  string(job.SoftwareVersion),
		Backoffs:         backoffMessages(job.Backoffs, now),
		ClientAccount:    string(job.Account),

		RoutePriorityOffset: int32(job.RoutePriority - job.Priority),
	}
}

// jobFromMessage is the inverse of jobMessage.
func jobFromMessage(message *rpc.Job, now time.Time) sardineknot.Job {
	return sardineknot.Job{
		Key:                requestKey(message.GetAccount(), message.GetRequest()),
		Pool:               sardineknot.PoolName(message.GetPool()),
		Work:               sardineknot.WorkName(message.GetWork()),
		Zone:               sardineknot.AvailabilityZone(message.GetZone()),
		PromptTokens:       int(message.GetPromptTokens()),
		PrefixHashes:       message.GetPrefixes(),
		MaxTokens:          int(message.GetMaxTokens()),
		Priority:           int(message.GetPriority()),
		FirstTokenDeadline: now.Add(micros.Duration(message.GetDeadlineMicros())),
		PerToken:           micros.Duration(message.GetPerTokenMicros()),
		Owner:              sardineknot.EntryHostID(message.GetOwner()),
		OwnerIncarnation:   sardineknot.Incarnation(message.GetOwnerIncarnation()),
		ExpectedTokens:     int(message.GetExpectedTokens()),
		CallerDeadline:     now.Add(micros.Duration(message.GetPatienceMicros())),
		Resumed:            message.GetResumed(),
		CachedOn:           sardineknot.BackendServerName(message.GetKept()),
		SoftwareVersion:    sardineknot.SoftwareVersion(message.GetSoftwareVersion()),
		Backoffs:           backoffsFromMessages(message.GetBackoffs(), now),
		Account:            sardineknot.ClientAccountName(message.GetClientAccount()),
		RoutePriority:      int(message.GetPriority() + message.GetRoutePriorityOffset()),
	}
}

func backoffMessages(backoffs []sardineknot.ServerBackoff, now time.Time) []*rpc.Backoff {
	var l []*rpc.Backoff
	for _, b := range backoffs {
		l = append(l, &rpc.Backoff{Server: string(b.Server), LeftMicros: b.Until.Sub(now).Microseconds()})
	}
	return l
}

// backoffsFromMessages is the inverse of backoffMessages.
func backoffsFromMessages(messages []*rpc.Backoff, now time.Time) []sardineknot.ServerBackoff {
	var l []sardineknot.ServerBackoff
	for _, m := range messages {
		l = append(l, sardineknot.ServerBackoff{Server: sardineknot.BackendServerName(m.GetServer()), Until: now.Add(micros.Duration(m.GetLeftMicros()))})
	}
	return l
}

func eventMessage(event sardineknot.JobEvent, self sardineknot.EntryHostID) *rpc.Event {
	return &rpc.Event{
		Account:     string(event.Key.Account),
		Request:     string(event.Key.ID),
		Kind:        int32(event.Kind),
		Server:      string(event.Server),
		Tokens:      int32(event.Tokens),
		Owner:       string(self),
		Unreachable: event.Unreachable,
		Leaving:     event.Leaving,
		Born:        event.Born,
	}
}

func eventFromMessage(message *rpc.Event) sardineknot.JobEvent {
	return sardineknot.JobEvent{
		Key:         requestKey(message.GetAccount(), message.GetRequest()),
		Kind:        sardineknot.JobEventKind(message.GetKind()),
		Server:      sardineknot.BackendServerName(message.GetServer()),
		Tokens:      int(message.GetTokens()),
		Unreachable: message.GetUnreachable(),
		Leaving:     message.GetLeaving(),
		Born:        message.GetBorn(),
	}
}

func runningMessage(running sardineknot.RunningJob, now time.Time) *rpc.RunningJob {
	return &rpc.RunningJob{
		Job:     jobMessage(running.Job, now),
		Prefill: string(running.Grant.PrefillEngine),
		Decode:  string(running.Grant.DecodeEngine),
		Tokens:  int32(running.Tokens),

		TakenOver: running.TakenOver,
	}
}

func runningFromMessage(message *rpc.RunningJob, now time.Time) sardineknot.RunningJob {
	return sardineknot.RunningJob{
		Job: jobFromMessage(message.GetJob(), now),
		Grant: sardineknot.Grant{
			PrefillEngine: sardineknot.BackendServerName(message.GetPrefill()),
			DecodeEngine:  sardineknot.BackendServerName(message.GetDecode()),
		},
		Tokens:    int(message.GetTokens()),
		TakenOver: message.GetTakenOver(),
	}
}

func refusalMessage(err *sardineknot.NotRunError) *rpc.Refusal {
	return &rpc.Refusal{Reason: err.Reason, RetryAfterMicros: err.RetryAfter.Microseconds()}
}

// refusalFromMessage returns the NotRunError of message, or nil if message is
// nil.
func refusalFromMessage(message *rpc.Refusal) error {
	if message == nil {
		return nil
	}
	return &sardineknot.NotRunError{Reason: message.GetReason(), RetryAfter: micros.Duration(message.GetRetryAfterMicros())}
}

func requestKey(account, request string) sardineknot.RequestKey {
	return sardineknot.RequestKey{Account: sardineknot.ClientAccountName(account), ID: sardineknot.RequestID(request)}
}
