// Package logline writes log events as one line of key=value pairs.
package logline

import (
	"bytes"
	"cmp"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// eventField is the field that names the event.
const eventField = "event"

// NewLogger returns a logger that writes events of level l or higher to w, with
// the time, the level and the name of the event first.
func NewLogger(w io.Writer, l zerolog.Level) zerolog.Logger {
	// The library knows the form of times for the whole process only.
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(&writer{out: w}).Level(l).With().Timestamp().Logger()
}

// writer turns the JSON lines of zerolog into pairs. It does so with little work,
// since a host writes several lines for each call.
type writer struct {
	out io.Writer

	mu      sync.Mutex
	decoder jsontext.Decoder
	line    bytes.Buffer
	fields  []field
}

// field is one pair.
type field struct{ name, value string }

// rank orders fields: the time, the level and the event go first, and the others
// by name.
func (f field) rank() int {
	switch f.name {
	case zerolog.TimestampFieldName:
		return 0
	case zerolog.LevelFieldName:
		return 1
	case eventField:
		return 2
	default:
		return 3
	}
}

// Write implements io.Writer. p is one line.
func (w *writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line.Reset()
	w.fields = w.fields[:0]
	err := w.convert(p)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	slices.SortFunc(w.fields, func(a, b field) int {
		return cmp.Or(a.rank()-b.rank(), strings.Compare(a.name, b.name))
	})
	for i, f := range w.fields {
		if i > 0 {
			w.line.WriteByte(' ')
		}
		pair(&w.line, f)
	}
	w.line.WriteByte('\n')
	_, err = w.out.Write(w.line.Bytes())
	return len(p), errors.WithStack(err)
}

// convert reads the fields of p.
func (w *writer) convert(p []byte) error {
	d := &w.decoder
	d.Reset(bytes.NewBuffer(p))
	_, err := d.ReadToken()
	if err != nil {
		return err
	}
	for d.PeekKind() == '"' {
		n, err := d.ReadToken()
		if err != nil {
			return err
		}
		k := n.String()
		v, err := d.ReadValue()
		if err != nil {
			return err
		}
		w.fields = append(w.fields, field{k, text(v)})
	}
	_, err = d.ReadToken()
	return err
}

// text returns the text of a string, and the JSON form of other values.
func text(v jsontext.Value) string {
	if v.Kind() != '"' {
		return string(v)
	}
	b, err := jsontext.AppendUnquote(nil, v)
	if err != nil {
		// The decoder has checked v.
		return string(v)
	}
	return string(b)
}

// pair appends f. Values that are no plain words are quoted.
func pair(b *bytes.Buffer, f field) {
	b.WriteString(f.name)
	b.WriteByte('=')
	v := f.value
	if v == "" || strings.ContainsAny(v, " \"=\n\t") {
		v = strconv.Quote(v)
	}
	b.WriteString(v)
}
