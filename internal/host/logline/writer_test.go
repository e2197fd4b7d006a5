package logline

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

func TestValues(t *testing.T) {
	var b bytes.Buffer
	l := NewLogger(&b, zerolog.InfoLevel)
	l.Info().Str("event", "tested").Bool("truth", true).Int("number", 7).Str("text", "a b").Send()
	_, s, _ := strings.Cut(b.String(), " level=")
	is.New(t).Equal(strings.TrimSpace(s), `info event=tested number=7 text="a b" truth=true`)
}

func TestLine(t *testing.T) {
	var b bytes.Buffer
	l := NewLogger(&b, zerolog.InfoLevel).With().Str("host", "a").Logger()
	l.Warn().Str("event", "tested").Err(errors.New("rejected \"x\"\non line 2")).Dur("took_ms", 1500*time.Microsecond).
		Str("empty", "").Strs("list", []string{"x", "y z"}).Send()
	l.Debug().Str("event", "hidden").Send()
	_, s, _ := strings.Cut(b.String(), " level=")
	is.New(t).Equal(s, `warn event=tested empty="" error="rejected \"x\"\non line 2" host=a list="[\"x\",\"y z\"]" took_ms=1.5`+"\n")
}

// TestRepeatedField guards against the loss of a whole line because one of its
// fields is also a field of the logger.
func TestRepeatedField(t *testing.T) {
	var b bytes.Buffer
	l := NewLogger(&b, zerolog.InfoLevel).With().Str("host", "a").Logger()
	l.Info().Str("event", "tested").Str("host", "b").Send()
	_, s, _ := strings.Cut(b.String(), " level=")
	is.New(t).Equal(strings.TrimSpace(s), "info event=tested host=a host=b")
}

func BenchmarkLine(b *testing.B) {
	l := NewLogger(io.Discard, zerolog.InfoLevel).With().Str("host", "front-1").Logger()
	b.ReportAllocs()
	for b.Loop() {
		l.Info().Str("event", "call_ended").Str("request", "0123456789abcdef").Str("route", "reports").Int64("revision", 7).
			Str("service", "llm").Int("status", 200).Dur("took_ms", time.Second).Send()
	}
}
