package events_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	four  = "id: 4\ndata: d\n\n"
	five  = "id: 5\ndata: e\n\n"
	plain = "data: x\n\n"
)

// resumed scripts a stream: the answers of engines d, e and f in turn, for a caller that
// has the events up to after.
type resumed struct {
	after   int
	answers []answer
}

// run runs the stream and returns what the caller got, the requests that were sent to
// engines and the error of the call.
func (s resumed) run(t *testing.T) (got string, e *engines, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e = &engines{answers: s.answers}
		c, w := newCall(true), &writer{}
		c.Route.Attempts = len(s.answers)
		c.Generation.ResumeAfter, c.Generation.Origin = s.after, "origin"
		r := newRunner(e, &grantsOnce{&slots{decode: engineNames()[:len(s.answers)]}})
		r.Versions = versions{"origin": ""}
		err = r.Run(t.Context(), c, w)
		got = w.got()
	})
	return got, e, err
}

// endsWhole checks that the caller receives want as a complete answer.
func (s resumed) endsWhole(t *testing.T, want string) {
	t.Helper()
	is := is.New(t)
	got, _, err := s.run(t)
	is.NoErr(err)
	is.Equal(got, want)
}

// breaksOff checks that the caller receives want and then an error.
func (s resumed) breaksOff(t *testing.T, want string) error {
	t.Helper()
	is := is.New(t)
	got, _, err := s.run(t)
	is.True(err != nil)
	is.Equal(got, want)
	return err
}

func breaks(body string) answer { return answer{status: 200, body: body, err: errReset} }
func ends(body string) answer   { return answer{status: 200, body: body} }
func hangs(body string) answer  { return answer{status: 200, body: body, silent: true} }

// TestGapAfterResume guards against a piece that is missing where another engine goes on
// with a stream.
func TestGapAfterResume(t *testing.T) {
	t.Run("a third engine has the missing event", func(t *testing.T) {
		resumed{answers: []answer{breaks(one + two), ends(four + five), ends(three + four)}}.endsWhole(t, one+two+three+four)
	})
	t.Run("no engine has the missing event", func(t *testing.T) {
		is := is.New(t)
		err := resumed{answers: []answer{breaks(one + two), ends(four)}}.breaksOff(t, one+two)
		var m *sardineknot.MissingEventsError
		is.True(errors.As(err, &m))
		is.Equal(*m, sardineknot.MissingEventsError{After: 2, Got: 4})
	})
	t.Run("after a take-up that was consecutive", func(t *testing.T) {
		resumed{after: 1, answers: []answer{breaks(two), ends(four)}}.breaksOff(t, two)
	})
	t.Run("the engine repeats events and then leaves one out", func(t *testing.T) {
		resumed{answers: []answer{breaks(one + two), ends(one + two + four)}}.breaksOff(t, one+two)
	})
	t.Run("a silent engine is not left for one that leaves an event out", func(t *testing.T) {
		a := answer{status: 200, body: one, continuation: two, pause: shortSilence}
		resumed{answers: []answer{a, ends(three)}}.endsWhole(t, one+two)
	})
}

// TestSteppedNumbers guards against breaking off sound streams whose numbers are not
// consecutive.
func TestSteppedNumbers(t *testing.T) {
	const ten, twenty, thirty = "id: 10\ndata: a\n\n", "id: 20\ndata: b\n\n", "id: 30\ndata: c\n\n"
	t.Run("in one run", func(t *testing.T) {
		resumed{answers: []answer{ends(ten + twenty + thirty)}}.endsWhole(t, ten+twenty+thirty)
	})
	t.Run("after the first event", func(t *testing.T) {
		resumed{answers: []answer{breaks(ten), ends(twenty + thirty)}}.endsWhole(t, ten+twenty+thirty)
	})
	t.Run("after a take-up", func(t *testing.T) {
		resumed{after: 10, answers: []answer{breaks(twenty), ends(thirty)}}.endsWhole(t, twenty+thirty)
	})
	t.Run("from the second event", func(t *testing.T) {
		resumed{answers: []answer{breaks(one + three), ends(five)}}.endsWhole(t, one+three+five)
	})
}

// TestRepeatedNumbers guards against a piece that comes twice because an engine starts
// before the requested number, or goes back.
func TestRepeatedNumbers(t *testing.T) {
	t.Run("the other engine starts at the beginning", func(t *testing.T) {
		resumed{answers: []answer{breaks(one + two), ends(one + two + three)}}.endsWhole(t, one+two+three)
	})
	t.Run("a take-up starts at the beginning", func(t *testing.T) {
		resumed{after: 2, answers: []answer{ends(one + two + three)}}.endsWhole(t, three)
	})
	t.Run("an event comes twice", func(t *testing.T) {
		resumed{answers: []answer{ends(one + two + two + three)}}.endsWhole(t, one+two+three)
	})
	t.Run("the numbers go back", func(t *testing.T) {
		resumed{answers: []answer{ends(one + two + three + two + three + four)}}.endsWhole(t, one+two+three+four)
	})
}

// TestEndAfterResume guards against a stream that ends as complete because another engine
// ended it too early, and against one that does not end although it is complete.
func TestEndAfterResume(t *testing.T) {
	nothing := answer{status: 200, empty: true}
	t.Run("no event follows within the answer", func(t *testing.T) {
		resumed{answers: []answer{breaks(one + two), nothing}}.endsWhole(t, one+two)
	})
	t.Run("no event follows at a take-up", func(t *testing.T) {
		resumed{after: 2, answers: []answer{nothing}}.endsWhole(t, "")
	})
	t.Run("a repeated run ends with the last event", func(t *testing.T) {
		resumed{after: 2, answers: []answer{ends(one + two)}}.endsWhole(t, "")
	})
	t.Run("a repeated run ends before the last event", func(t *testing.T) {
		resumed{after: 2, answers: []answer{ends(one)}}.breaksOff(t, "")
	})
	t.Run("a repeated run within the answer ends before the last event", func(t *testing.T) {
		resumed{answers: []answer{breaks(one + two), ends(one)}}.breaksOff(t, one+two)
	})
	t.Run("a run repeats an event and ends", func(t *testing.T) {
		resumed{answers: []answer{ends(one + two + three + two)}}.endsWhole(t, one+two+three)
	})
	t.Run("the engine that was replaced ends its stream", func(t *testing.T) {
		a := hangs(one)
		a.endsWhenLeft = true
		resumed{answers: []answer{a, ends(two + three)}}.endsWhole(t, one+two+three)
	})
}

// TestUnnumberedEvents guards against events that come twice or are lost, because
// another engine went on with a stream whose last event has no number.
func TestUnnumberedEvents(t *testing.T) {
	t.Run("in one run", func(t *testing.T) {
		resumed{answers: []answer{ends(plain + plain)}}.endsWhole(t, plain+plain)
	})
	for name, id := range map[string]string{"missing": "", "zero": "0", "negative": "-3", "huge": "99999999999999999999", "text": "x"} {
		e := "id: " + id + "\ndata: x\n\n"
		if id == "" {
			e = plain
		}
		t.Run("relayed, number is "+name, func(t *testing.T) {
			resumed{answers: []answer{ends(one + e + two)}}.endsWhole(t, one+e+two)
		})
		t.Run("no other engine goes on, number is "+name, func(t *testing.T) {
			is := is.New(t)
			s := resumed{answers: []answer{breaks(one + e), ends(e + two)}}
			s.breaksOff(t, one+e)
			_, l, _ := s.run(t)
			is.Equal(len(l.sends), 1)
		})
		t.Run("the other engine begins with it, number is "+name, func(t *testing.T) {
			resumed{answers: []answer{breaks(one), ends(e + two)}}.breaksOff(t, one)
		})
		t.Run("a take-up begins with it, number is "+name, func(t *testing.T) {
			resumed{after: 1, answers: []answer{ends(e + two)}}.breaksOff(t, "")
		})
	}
	t.Run("a silent engine stays", func(t *testing.T) {
		is := is.New(t)
		s := resumed{answers: []answer{{status: 200, body: plain, continuation: plain, pause: 5 * time.Second}, ends(plain + plain)}}
		got, e, err := s.run(t)
		is.NoErr(err)
		is.Equal(got, plain+plain)
		is.Equal(len(e.sends), 1)
	})
	t.Run("a number follows", func(t *testing.T) {
		resumed{answers: []answer{breaks(one + plain + two), ends(three)}}.endsWhole(t, one+plain+two+three)
	})
	t.Run("a field without data is no event", func(t *testing.T) {
		resumed{answers: []answer{breaks(one), ends("retry: 100\n\n" + two)}}.endsWhole(t, one+"retry: 100\n\n"+two)
	})
}
