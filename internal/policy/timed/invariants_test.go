package timed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sardineknot.example/sardineknot"
)

// TestInvariants reports random events and checks the use of slots after each.
func TestInvariants(t *testing.T) {
	for n := range uint64(5) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := rand.New(rand.NewPCG(n, 1))
			v := newDriver(t, 3, 3, 4)
			for i := range 1000 {
				step(v, r, i)
				checkSlots(v)
			}
			for _, k := range keys(v) {
				v.report(k, sardineknot.JobCancelled, "", 0)
			}
			v.checkEmpty()
		})
	}
}

func step(v *driver, random *rand.Rand, index int) {
	if random.IntN(2) == 0 {
		j := v.job(fmt.Sprint(index))
		j.Key.Account = sardineknot.ClientAccountName(fmt.Sprint(random.IntN(4)))
		j.FirstTokenDeadline = v.now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
		v.submit(j)
	}
	l := keys(v)
	if len(l) > 0 {
		k := l[random.IntN(len(l))]
		e := sardineknot.JobEventKind(1 + random.IntN(5))
		v.report(k, e, v.servers[random.IntN(len(v.servers))].Name, random.IntN(500))
	}
	v.wait(time.Duration(random.IntN(3)) * 30 * time.Millisecond)
}

func keys(v *driver) []string {
	var l []string
	for k := range v.s.jobs {
		l = append(l, string(k.ID))
	}
	slices.Sort(l)
	return l
}

func checkSlots(v *driver) {
	for _, e := range v.s.decode {
		v.is.True(len(e.jobs) <= e.server.Slots)
	}
	for _, j := range v.s.pending {
		v.is.True(j.state == prefilling || j.state == ready)
		v.is.True(j.decode == nil)
	}
}
