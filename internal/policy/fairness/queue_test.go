package fairness

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

var start = time.Unix(1000, 0)

func key(account sardineknot.ClientAccountName, id int) sardineknot.RequestKey {
	return sardineknot.RequestKey{Account: account, ID: sardineknot.RequestID(fmt.Sprint(id))}
}

// serve starts the next job and returns its account. The job keeps running if
// hold is set, and ends at once otherwise.
func serve(q *Queue, hold bool) sardineknot.ClientAccountName {
	k, _ := q.Peek()
	q.Remove(k)
	q.AddRunning(k.Account, 1)
	if !hold {
		q.AddRunning(k.Account, -1)
	}
	return k.Account
}

// burst returns a queue with ten jobs of account a and three jobs of account b,
// whose deadlines are later.
func burst() *Queue {
	q := NewQueue()
	for i := range 10 {
		q.Push(key("a", i), 0, start)
	}
	for i := range 3 {
		q.Push(key("b", i), 0, start.Add(time.Hour))
	}
	return q
}

func TestServiceOrder(t *testing.T) {
	for n, h := range map[string]bool{"jobs that keep running": true, "jobs that end at once": false} {
		t.Run("accounts alternate with "+n, func(t *testing.T) {
			q := burst()
			var b int
			for range 6 {
				if serve(q, h) == "b" {
					b++
				}
			}
			is.New(t).Equal(b, 3)
		})
	}
	t.Run("an account with fewer running jobs goes first", func(t *testing.T) {
		q := burst()
		q.AddRunning("a", 1)
		for range 3 {
			is.New(t).Equal(serve(q, false), sardineknot.ClientAccountName("b"))
		}
	})
	t.Run("an idle account accumulates no credit", func(t *testing.T) {
		q := burst()
		for range 8 {
			serve(q, false)
		}
		for i := range 5 {
			q.Push(key("c", i), 0, start)
		}
		var c int
		for range 4 {
			if serve(q, false) == "c" {
				c++
			}
		}
		is.New(t).Equal(c, 2)
	})
}

func TestAhead(t *testing.T) {
	t.Run("the number of preceding jobs depends on the account's own burst", func(t *testing.T) {
		q := burst()
		is.New(t).Equal(q.Ahead("c", 0), 2)
		is.New(t).Equal(q.Ahead("a", 0), 13)
		is.New(t).Equal(q.Ahead("c", 1), 13)
	})
}

func TestDeadlines(t *testing.T) {
	t.Run("jobs of one account are ordered by deadline", func(t *testing.T) {
		q := NewQueue()
		q.Push(key("a", 1), 0, start.Add(time.Second))
		q.Push(key("a", 2), 0, start)
		k, _ := q.Peek()
		is.New(t).Equal(k, key("a", 2))
	})
	t.Run("accounts without jobs leave no entries", func(t *testing.T) {
		q := burst()
		for i := range 10 {
			q.Remove(key("a", i))
			q.Remove(key("b", i))
		}
		is.New(t).Equal(q.Len(), 0)
		is.New(t).Equal(len(q.classes[0].accounts), 0)
		is.New(t).Equal(len(q.running), 0)
	})
}
