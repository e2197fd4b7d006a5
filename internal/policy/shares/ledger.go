package shares

import (
	"math"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// starvedRatio is the share of its requests that an account gets served, relative
	// to that of all requests, below which the account is starved. Accounts must not
	// get below a quarter; the rest is a margin for the time that it takes to catch up.
	starvedRatio = 0.4
	// minOutcomes is the number of recent requests of an account below which it never
	// counts as starved.
	minOutcomes = 3
	// outcomeHalfLife is the time in which half of the recorded outcomes are forgotten.
	// It is about the length of a burst of requests.
	outcomeHalfLife = 5 * time.Second
	// maxAccounts bounds the recorded accounts. Those that are due no later than an
	// idle account are forgotten beyond it.
	maxAccounts = 8192
)

// Ledger records the service of client accounts. The zero value is empty. A Ledger is not
// safe for concurrent use and never reads a clock; the times passed to its methods must
// not decrease.
type Ledger struct {
	// virtualTime is the tag of the request that was served last.
	virtualTime float64
	accounts    map[sardineknot.ClientAccountName]*account
	// all holds the outcomes of all accounts.
	all outcomes
}

// account is the state of one client account.
type account struct {
	// due is the tag of the account's next request, unless virtualTime is greater.
	due float64
	outcomes
}

// outcomes counts recent requests. Counts decay with outcomeHalfLife.
type outcomes struct {
	served, refused float64
	// at is the time of the last decay.
	at time.Time
}

// Tag returns the tag of the next request of account. Among requests of equal urgency,
// the one with the smallest tag is served first. A later request of the account that
// waits as well has a tag that is greater by the costs of those before it.
func (l *Ledger) Tag(account sardineknot.ClientAccountName) float64 {
	a := l.accounts[account]
	if a == nil {
		return l.virtualTime
	}
	return max(l.virtualTime, a.due)
}

// Serve records that a request of account with the given cost is served.
func (l *Ledger) Serve(now time.Time, account sardineknot.ClientAccountName, cost float64) {
	t := l.Tag(account)
	a := l.account(account)
	a.due = t + cost
	l.virtualTime = max(l.virtualTime, t)
	a.decay(now)
	a.served++
	l.all.decay(now)
	l.all.served++
}

// Refuse records that a request of account is refused.
func (l *Ledger) Refuse(now time.Time, account sardineknot.ClientAccountName) {
	a := l.account(account)
	a.decay(now)
	a.refused++
	l.all.decay(now)
	l.all.refused++
}

// Starved reports whether account is served far less often than all accounts together.
func (l *Ledger) Starved(now time.Time, account sardineknot.ClientAccountName) bool {
	a := l.accounts[account]
	if a == nil {
		return false
	}
	a.decay(now)
	l.all.decay(now)
	return a.served+a.refused >= minOutcomes && a.ratio() < starvedRatio*l.all.ratio()
}

// account returns the state of the named account, and creates it if needed.
func (l *Ledger) account(name sardineknot.ClientAccountName) *account {
	a := l.accounts[name]
	if a != nil {
		return a
	}
	if l.accounts == nil {
		l.accounts = make(map[sardineknot.ClientAccountName]*account)
	}
	if len(l.accounts) >= maxAccounts {
		l.forget()
	}
	a = &account{}
	l.accounts[name] = a
	return a
}

// forget removes the accounts that are due no later than an idle account, and all of
// them if there are none.
func (l *Ledger) forget() {
	for n, a := range l.accounts {
		if a.due <= l.virtualTime {
			delete(l.accounts, n)
		}
	}
	if len(l.accounts) >= maxAccounts {
		clear(l.accounts)
	}
}

// decay forgets outcomes by the time that has passed.
func (o *outcomes) decay(now time.Time) {
	d := now.Sub(o.at)
	if d <= 0 {
		return
	}
	f := math.Exp2(-float64(d) / float64(outcomeHalfLife))
	o.served *= f
	o.refused *= f
	o.at = now
}

// ratio returns the share of requests that were served. It is 1 if there were none.
func (o *outcomes) ratio() float64 {
	if o.served+o.refused == 0 {
		return 1
	}
	return o.served / (o.served + o.refused)
}
