package story_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/report/story"
)

// tell returns the story of the request r in the lines l.
func tell(t *testing.T, l ...string) (text string, skipped int) {
	t.Helper()
	s := story.NewStory("r")
	is.New(t).NoErr(s.Read(strings.NewReader(strings.Join(l, "\n"))))
	var b strings.Builder
	s.Write(&b)
	return b.String(), s.Skipped
}

func assertCause(t *testing.T, text, want string) {
	t.Helper()
	_, c, _ := strings.Cut(text, "cause: ")
	is.New(t).True(strings.Contains(c, want))
}

const (
	begin = `time=2026-01-02T03:04:05.1Z level=info event=engines_granted host=a request=r prefill=p decode=d waited_ms=700`
	end   = `time=2026-01-02T03:04:06.2Z level=warn event=call_ended host=a request=r status=`
)

func TestStory(t *testing.T) {
	t.Run("orders lines and passes over others", func(t *testing.T) {
		is := is.New(t)
		x, n := tell(t, `  12.3 front-1 `+end+`200`, "noise", begin, strings.ReplaceAll(begin, "request=r", "request=other"))
		is.Equal(n, 1)
		is.True(strings.Index(x, "engines_granted") < strings.Index(x, "call_ended"))
		is.Equal(strings.Count(x, "engines_granted"), 1)
		is.True(strings.Contains(x, "+1.100s a call_ended"))
	})
	for _, c := range []struct {
		name, want string
		lines      []string
	}{
		{"a refusal under load", "memory of the decode engines", []string{end + `503 error="not run: no engine has room in time (retry after 4.2s)"`}},
		{"a broken stream", "engine d failed: reset", []string{
			begin, `time=2026-01-02T03:04:06Z level=warn event=engine_failed host=a request=r server=d error=reset`, end + `200 error=x`,
		}},
		{"a failure of the server", "itself answered 500", []string{end + `500`}},
		{"a host that died", "its host died", []string{begin}},
		{"a slow first event", "first event after 950 ms", []string{
			begin, `time=2026-01-02T03:04:06Z level=info event=stream_ended host=a request=r server=d tries=1 first_ms=950 pause_ms=60`, end + `200`,
		}},
		{"a missing route", "unknown Route", []string{end + `404 error="unknown Route \"/x\""`}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x, _ := tell(t, c.lines...)
			assertCause(t, x, c.want)
		})
	}
}
