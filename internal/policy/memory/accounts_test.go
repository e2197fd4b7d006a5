package memory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/memory"
)

const (
	// step is the time between two events of a load, and loadTime its duration.
	step     = 20 * time.Millisecond
	loadTime = 30 * time.Second
	// minAnswerTime and answerSpread bound the time from the grant of engines to the end
	// of an answer. Answers that ended together would free memory in waves only.
	minAnswerTime = 2 * time.Second
	answerSpread  = 3 * time.Second
)

// tenant is a client account of a load. It sends a job each interval steps.
type tenant struct {
	name               sardineknot.ClientAccountName
	interval, priority int
	// prompt is the length of its prompts, in tokens.
	prompt int
	// sent and served count its jobs.
	sent, served int
}

// ratio returns the share of the jobs of t that were served.
func (t *tenant) ratio() float64 { return float64(t.served) / float64(t.sent) }

// load runs the jobs of tenants against a scheduler with eight decode engines, on
// which some 60 answers of 4,000 tokens to prompts of 5,000 fit at a time.
type load struct {
	scheduler *memory.Scheduler
	now       time.Time
	tenants   []*tenant
	// owners holds the tenants of the jobs, and ends the jobs that end in a step.
	owners map[sardineknot.RequestKey]*tenant
	ends   map[time.Time][]sardineknot.RequestKey
	// running holds the running answers.
	running map[sardineknot.RequestKey]answer
	// served is the number of jobs that were granted engines.
	served int
}

// answer is a running answer.
type answer struct {
	begun    time.Time
	duration time.Duration
}

func runLoad(tenants ...*tenant) {
	l := &load{scheduler: newScheduler(8), now: start, tenants: tenants, owners: make(map[sardineknot.RequestKey]*tenant), ends: make(map[time.Time][]sardineknot.RequestKey), running: make(map[sardineknot.RequestKey]answer)}
	for i := range int(loadTime / step) {
		l.reportProgress()
		for _, k := range l.ends[l.now] {
			delete(l.running, k)
			l.apply(l.scheduler.Report(l.now, sardineknot.JobEvent{Key: k, Kind: sardineknot.JobFinished, Tokens: 4000}))
		}
		for _, t := range l.tenants {
			if i%t.interval == 0 {
				l.submit(t)
			}
		}
		l.apply(l.scheduler.Wake(l.now))
		l.now = l.now.Add(step)
	}
}

// reportProgress reports the progress of all running answers. The scheduler drops jobs
// without events.
func (l *load) reportProgress() {
	for k, a := range l.running {
		n := int(4000 * l.now.Sub(a.begun) / a.duration)
		l.scheduler.Report(l.now, sardineknot.JobEvent{Key: k, Kind: sardineknot.JobProgress, Tokens: n})
	}
}

func (l *load) submit(t *tenant) {
	t.sent++
	j := job(fmt.Sprint(t.name, t.sent), l.now, t.prompt, 4000)
	j.Account, j.Priority, j.RoutePriority = t.name, t.priority, t.priority
	l.owners[j.Key] = t
	l.apply(l.scheduler.Submit(l.now, j))
}

// apply carries out decisions. Prefills end at once, so that only memory is scarce.
func (l *load) apply(decisions []sardineknot.Decision) {
	for _, d := range decisions {
		if d.Action != sardineknot.ActionPrefill {
			continue
		}
		l.owners[d.Key].served++
		l.served++
		a := answer{begun: l.now, duration: (minAnswerTime + answerSpread*time.Duration(l.served*7%13)/13).Truncate(step)}
		l.running[d.Key] = a
		e := l.now.Add(a.duration)
		l.ends[e] = append(l.ends[e], d.Key)
		l.scheduler.Report(l.now, sardineknot.JobEvent{Key: d.Key, Kind: sardineknot.JobDecodeStarted})
	}
}

// assertServed checks that tenants are served at least the given share of their jobs,
// all together.
func assertServed(t *testing.T, share float64, tenants ...*tenant) {
	t.Helper()
	var a tenant
	for _, o := range tenants {
		a.sent += o.sent
		a.served += o.served
	}
	if a.ratio() < share {
		t.Errorf("%.3f of the jobs are served, want %.3f", a.ratio(), share)
	}
}

// accounts returns count tenants that send a job each interval steps, and a few of them
// a little less often, so that they are out of step.
func accounts(count, interval, prompt int) []*tenant {
	var l []*tenant
	for i := range count {
		l = append(l, &tenant{name: sardineknot.ClientAccountName(rune('a' + i)), interval: interval + i%5, prompt: prompt})
	}
	return l
}

// TestAccountShares covers accounts that compete for too little memory. With perfect
// knowledge an account that needs less than its share gets all of it; 0.95 of that is
// the target.
func TestAccountShares(t *testing.T) {
	t.Run("one account at eight times its usual does not displace the others", func(t *testing.T) {
		hot := &tenant{name: "hot", interval: 2, prompt: 5000}
		l := accounts(4, 16, 5000)
		runLoad(append(l, hot)...)
		assertServed(t, 0.95, l...)
		assertServed(t, 0.3, hot)         // nothing idles
		is.New(t).True(hot.ratio() < 0.9) // the load exceeds the memory
	})
	t.Run("small accounts beside two large ones are served", func(t *testing.T) {
		l := accounts(10, 50, 3000)
		a, b := &tenant{name: "l1", interval: 4, prompt: 5000}, &tenant{name: "l2", interval: 5, prompt: 9000}
		runLoad(append(l, a, b)...)
		assertServed(t, 0.95, l...)
		is.New(t).True(a.ratio() < 0.9)
		is.New(t).True(b.ratio() > a.ratio()/4)
	})
	t.Run("an account whose jobs are never urgent enough does not starve", func(t *testing.T) {
		a, b := &tenant{name: "urgent", interval: 2, prompt: 5000}, &tenant{name: "other", interval: 8, priority: 2, prompt: 5000}
		runLoad(a, b)
		assertServed(t, (a.ratio()*4+b.ratio())/5/4, b) // a quarter as often as all
		is.New(t).True(a.ratio() > b.ratio())           // urgency counts
	})
	t.Run("a burst of the less urgent class does not displace the urgent one", func(t *testing.T) {
		a, b := &tenant{name: "urgent", interval: 6, prompt: 5000}, &tenant{name: "burst", interval: 2, priority: 2, prompt: 5000}
		runLoad(a, b)
		assertServed(t, 0.95, a)
	})
}
