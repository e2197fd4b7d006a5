package sardineknot

import (
	"slices"
	"time"
)

// ServerProcess identifies one process of a backend server.
type ServerProcess struct {
	// Name is the name of the server.
	Name BackendServerName
	// Born is BackendServer.Born of the process.
	Born int64
}

// Process returns the process that s describes.
func (s BackendServer) Process() ServerProcess { return ServerProcess{Name: s.Name, Born: s.Born} }

// ServerCrash reports that a backend server broke off a request that it had just
// begun or was about to begin.
type ServerCrash struct {
	// Process is the process of the server. Reports of the same process are reports
	// of the same crash.
	Process ServerProcess
	// Traits holds the traits of the request.
	Traits RequestTraits
	// Begun is the time at which the request was sent to the server.
	Begun time.Time
	// At is the time at which the request broke off.
	At time.Time
}

// SoundTrait reports that servers have answered a request with a trait without a
// crash.
type SoundTrait struct {
	// Trait is the trait.
	Trait Trait
	// At is the time at which the latest such answer began, or at which its request
	// was sent.
	At time.Time
}

// RunningServer reports that a process of a backend server is running.
type RunningServer struct {
	// Process is the process.
	Process ServerProcess
	// At is the time at which it got a request that it has answered.
	At time.Time
}

// Quarantine bars requests with certain traits from backend servers.
type Quarantine struct {
	// Traits holds the traits. Requests with all of them are barred. It is sorted
	// and not empty.
	Traits TraitList
	// Until is the end of the quarantine.
	Until time.Time
	// Strikes is the number of quarantines of these traits so far. It is positive.
	Strikes int
}

// Bars reports whether q applies to a request with the given traits.
func (q Quarantine) Bars(traits TraitList) bool {
	for _, t := range q.Traits {
		if !slices.Contains(traits, t) {
			return false
		}
	}
	return true
}

// CrashEvidence is the evidence of requests that crash servers, as entry hosts
// exchange it.
type CrashEvidence struct {
	Crashes []ServerCrash
	// Sound holds parts of prompts, and Answered broad and exact traits.
	Sound       []SoundTrait
	Answered    []SoundTrait
	Quarantines []Quarantine
	Running     []RunningServer
}

// Empty reports whether e holds nothing.
func (e CrashEvidence) Empty() bool {
	return len(e.Crashes)+len(e.Sound)+len(e.Answered)+len(e.Quarantines)+len(e.Running) == 0
}

// QuarantineList holds the quarantines in force on a host. Implementations are safe
// for concurrent use.
type QuarantineList interface {
	// Quarantines returns the quarantines, and those that have ended but whose
	// parts are not forgotten yet.
	Quarantines() []Quarantine
	// AddQuarantine records a quarantine, unless one with as many strikes is known.
	AddQuarantine(quarantine Quarantine)
}

// CrashRecord holds the crashes that a host knows of. Implementations are safe for
// concurrent use.
type CrashRecord interface {
	// KeptCrashes returns the crashes that must outlive the hosts, the first crash first, and
	// what is known of the traits of their requests.
	KeptCrashes() CrashEvidence
	// RestoreEvidence records evidence that has outlived the hosts which found it.
	RestoreEvidence(evidence CrashEvidence)
}

// CrashGuard keeps requests from backend servers that crash every server that
// begins to run them: those with a certain part in their prompts, and those that are
// the same request of the same caller. Implementations are safe for concurrent use
// and share what they learn with all entry hosts.
type CrashGuard interface {
	// Check fails with a NotRunError if call must not be sent to a server.
	Check(call *Call) error
	// ReportCrash records that process broke off call, which was sent to it at the
	// time begun, and which it had just begun or was about to begin.
	ReportCrash(process ServerProcess, call *Call, begun time.Time)
	// ReportSound records that process has answered call, or has written a stream
	// for some time, which began at the time begun.
	ReportSound(process ServerProcess, call *Call, begun time.Time)
	// ReportReplaced records that another process has answered under the name of process by
	// the time at. One that follows at once shows that process was replaced, and that no
	// request has ended it.
	ReportReplaced(process ServerProcess, at time.Time)
}
