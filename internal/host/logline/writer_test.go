package logline

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

func TestValues(t *testing.T) {
	var b bytes.Buffer
	l := NewLogger(&b, zerolog.InfoLevel)
	l.Info().Str("event", "tested").Bool("truth", true).Int("number", 7).Str("text", "a b").Send()
	_, s, _ := strings.Cut(b.String(), " level=")
	is.New(t).Equal(strings.TrimSpace(s), `info event=tested number=7 text="a b" truth=true`)
}
