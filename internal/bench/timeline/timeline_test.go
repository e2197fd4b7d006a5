package timeline_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/bench/timeline"
)

func TestOrder(t *testing.T) {
	i := is.New(t)
	s := time.Unix(1000, 0)
	l := timeline.NewTimeline(s)
	var got []string
	l.After(2*time.Second, func() { got = append(got, "late") })
	l.After(time.Second, func() {
		got = append(got, "first")
		l.After(0, func() { got = append(got, "third") })
	})
	l.After(time.Second, func() { got = append(got, "second") })
	l.Run(s.Add(2 * time.Second))
	i.Equal(got, []string{"first", "second", "third"})
	i.Equal(l.Now(), s.Add(time.Second))
}
