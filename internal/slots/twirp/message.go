package twirp

import (
	"time"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/slots"
)

// jobMessage converts j at the time now. The deadline is sent as the time
// left, because clocks of hosts differ.
func jobMessage(j sardineknot.Job, now time.Time) *rpc.Job {
	return &rpc.Job{
		Account:          string(j.Key.Account),
		Request:          string(j.Key.ID),
		Pool:             string(j.Pool),
		Work:             string(j.Work),
		Zone:             string(j.Zone),
		PromptTokens:     int32(j.PromptTokens),
		Prefixes:         j.Prefixes,
		MaxTokens:        int32(j.MaxTokens),
		Priority:         int32(j.Priority),
		DeadlineMicros:   j.Deadline.Sub(now).Microseconds(),
		PerTokenMicros:   j.PerToken.Microseconds(),
		Owner:            string(j.Owner),
		OwnerIncarnation: uint64(j.OwnerIncarnation),
		ExpectedTokens:   int32(j.ExpectedTokens),
		PatienceMicros:   j.Patience.Sub(now).Microseconds(),
		Resumed:          j.Resumed,
		Kept:             string(j.Kept),
	}
}

func job(m *rpc.Job, now time.Time) sardineknot.Job {
	return sardineknot.Job{
		Key:              key(m.GetAccount(), m.GetRequest()),
		Pool:             sardineknot.PoolName(m.GetPool()),
		Work:             sardineknot.WorkName(m.GetWork()),
		Zone:             sardineknot.AvailabilityZone(m.GetZone()),
		PromptTokens:     int(m.GetPromptTokens()),
		Prefixes:         m.GetPrefixes(),
		MaxTokens:        int(m.GetMaxTokens()),
		Priority:         int(m.GetPriority()),
		Deadline:         now.Add(micros(m.GetDeadlineMicros())),
		PerToken:         micros(m.GetPerTokenMicros()),
		Owner:            sardineknot.EntryHostID(m.GetOwner()),
		OwnerIncarnation: sardineknot.Incarnation(m.GetOwnerIncarnation()),
		ExpectedTokens:   int(m.GetExpectedTokens()),
		Patience:         now.Add(micros(m.GetPatienceMicros())),
		Resumed:          m.GetResumed(),
		Kept:             sardineknot.BackendServerName(m.GetKept()),
	}
}

func eventMessage(e sardineknot.JobEvent, self sardineknot.EntryHostID) *rpc.Event {
	return &rpc.Event{
		Account:     string(e.Key.Account),
		Request:     string(e.Key.ID),
		Kind:        int32(e.Kind),
		Server:      string(e.Server),
		Tokens:      int32(e.Tokens),
		Owner:       string(self),
		Unreachable: e.Unreachable,
	}
}

func event(m *rpc.Event) sardineknot.JobEvent {
	return sardineknot.JobEvent{
		Key:         key(m.GetAccount(), m.GetRequest()),
		Kind:        sardineknot.JobEventKind(m.GetKind()),
		Server:      sardineknot.BackendServerName(m.GetServer()),
		Tokens:      int(m.GetTokens()),
		Unreachable: m.GetUnreachable(),
	}
}

func runningMessage(r sardineknot.RunningJob, now time.Time) *rpc.RunningJob {
	return &rpc.RunningJob{
		Job:     jobMessage(r.Job, now),
		Prefill: string(r.Grant.Prefill),
		Decode:  string(r.Grant.Decode),
		Tokens:  int32(r.Tokens),

		TakenOver: r.TakenOver,
	}
}

func running(m *rpc.RunningJob, now time.Time) sardineknot.RunningJob {
	return sardineknot.RunningJob{
		Job: job(m.GetJob(), now),
		Grant: sardineknot.Grant{
			Prefill: sardineknot.BackendServerName(m.GetPrefill()),
			Decode:  sardineknot.BackendServerName(m.GetDecode()),
		},
		Tokens:    int(m.GetTokens()),
		TakenOver: m.GetTakenOver(),
	}
}

func refusalMessage(e *sardineknot.NotRunError) *rpc.Refusal {
	return &rpc.Refusal{Reason: e.Reason, RetryAfterMicros: e.RetryAfter.Microseconds()}
}

// refusal returns the NotRunError of m, or nil.
func refusal(m *rpc.Refusal) error {
	if m == nil {
		return nil
	}
	return &sardineknot.NotRunError{Reason: m.GetReason(), RetryAfter: micros(m.GetRetryAfterMicros())}
}

func key(account, request string) sardineknot.RequestKey {
	return sardineknot.RequestKey{Account: sardineknot.ClientAccountName(account), ID: sardineknot.RequestID(request)}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
