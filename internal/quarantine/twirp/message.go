package twirp

import (
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/peer/micros"
	rpc "sardineknot.example/sardineknot/internal/rpc/quarantine"
)

// evidenceMessage converts evidence to a message that is sent at time now.
func evidenceMessage(evidence sardineknot.CrashEvidence, now time.Time) *rpc.Evidence {
	m := &rpc.Evidence{}
	for _, c := range evidence.Crashes {
		m.Crashes = append(m.Crashes, &rpc.Crash{
			Server: string(c.Process.Name), Born: c.Process.Born, AgeMicros: now.Sub(c.At).Microseconds(), RanMicros: c.At.Sub(c.Begun).Microseconds(),
			Parts: numbers(c.Traits.Parts), Broad: numbers(c.Traits.Broad), Exact: numbers(c.Traits.Exact),
		})
	}
	m.Sound, m.Answered = soundMessages(evidence.Sound, now), soundMessages(evidence.Answered, now)
	for _, q := range evidence.Quarantines {
		m.Quarantines = append(m.Quarantines, &rpc.Quarantine{
			Traits: numbers(q.Traits), LeftMicros: q.Until.Sub(now).Microseconds(), Strikes: int32(q.Strikes),
		})
	}
	for _, r := range evidence.Running {
		m.Running = append(m.Running, &rpc.Running{Server: string(r.Process.Name), Born: r.Process.Born, AgeMicros: now.Sub(r.At).Microseconds()})
	}
	return m
}

// evidenceFromMessage is the inverse of evidenceMessage for a message that is
// received at time now.
func evidenceFromMessage(message *rpc.Evidence, now time.Time) sardineknot.CrashEvidence {
	var v sardineknot.CrashEvidence
	for _, c := range message.GetCrashes() {
		t := now.Add(-micros.Duration(c.GetAgeMicros()))
		v.Crashes = append(v.Crashes, sardineknot.ServerCrash{
			Process: process(c), At: t, Begun: t.Add(-micros.Duration(c.GetRanMicros())),
			Traits: sardineknot.RequestTraits{Parts: traits(c.GetParts()), Broad: traits(c.GetBroad()), Exact: traits(c.GetExact())},
		})
	}
	v.Sound, v.Answered = soundTraits(message.GetSound(), now), soundTraits(message.GetAnswered(), now)
	for _, q := range message.GetQuarantines() {
		v.Quarantines = append(v.Quarantines, sardineknot.Quarantine{
			Traits: traits(q.GetTraits()), Until: now.Add(micros.Duration(q.GetLeftMicros())), Strikes: int(q.GetStrikes()),
		})
	}
	for _, r := range message.GetRunning() {
		v.Running = append(v.Running, sardineknot.RunningServer{Process: process(r), At: now.Add(-micros.Duration(r.GetAgeMicros()))})
	}
	return v
}

// soundMessages converts traits to messages that are sent at time now.
func soundMessages(list []sardineknot.SoundTrait, now time.Time) []*rpc.Sound {
	var l []*rpc.Sound
	for _, s := range list {
		l = append(l, &rpc.Sound{Trait: uint64(s.Trait), AgeMicros: now.Sub(s.At).Microseconds()})
	}
	return l
}

// soundTraits is the inverse of soundMessages for messages that are received at time
// now.
func soundTraits(list []*rpc.Sound, now time.Time) []sardineknot.SoundTrait {
	var l []sardineknot.SoundTrait
	for _, s := range list {
		l = append(l, sardineknot.SoundTrait{Trait: sardineknot.Trait(s.GetTrait()), At: now.Add(-micros.Duration(s.GetAgeMicros()))})
	}
	return l
}

// processMessage is a message that names a process of a backend server.
type processMessage interface {
	GetServer() string
	GetBorn() int64
}

// process returns the process that message names.
func process(message processMessage) sardineknot.ServerProcess {
	return sardineknot.ServerProcess{Name: sardineknot.BackendServerName(message.GetServer()), Born: message.GetBorn()}
}

// numbers converts traits to the numbers of a message.
func numbers(list sardineknot.TraitList) []uint64 {
	l := make([]uint64, len(list))
	for i, t := range list {
		l[i] = uint64(t)
	}
	return l
}

// traits is the inverse of numbers.
func traits(list []uint64) sardineknot.TraitList {
	l := make(sardineknot.TraitList, len(list))
	for i, n := range list {
		l[i] = sardineknot.Trait(n)
	}
	return l
}
