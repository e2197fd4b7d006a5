// Package logline writes each log event as one line of key=value pairs.
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

// eventField is the field that contains the name of the event.
const eventField = "event"

// NewLogger returns a logger that writes events of the given level or higher to
// w, one line each. A line starts with the time, the level and the name of the
// event. NewLogger sets zerolog.TimeFieldFormat.
func NewLogger(w io.Writer, level zerolog.Level) zerolog.Logger {
	// zerolog has only one time format for the whole process.
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(&writer{out: w}).Level(level).With().Timestamp().Logger()
}

// writer converts the JSON lines of zerolog into lines of key=value pairs. It
// reuses its buffers between lines because a host writes several lines for each
// call.
type writer struct {
	out io.Writer

	mu      sync.Mutex
	decoder jsontext.Decoder
	line    bytes.Buffer
	fields  []field
}

// field is one key=value pair.
type field struct{ name, value string }

// rank returns the sort key of f: the time, the level and the event come first,
// in this order. All other fields have the same rank and are sorted by name.
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

// Write implements io.Writer. p must be one JSON object.
func (w *writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line.Reset()
	w.fields = w.fields[:0]
	err := w.parseFields(p)
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
		appendField(&w.line, f)
	}
	w.line.WriteByte('\n')
	_, err = w.out.Write(w.line.Bytes())
	return len(p), errors.WithStack(err)
}

// parseFields appends the members of the JSON object data to w.fields.
func (w *writer) parseFields(data []byte) error {
	d := &w.decoder
	// A field that occurs twice must not cost the line.
	d.Reset(bytes.NewBuffer(data), jsontext.AllowDuplicateNames(true))
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
		w.fields = append(w.fields, field{k, valueText(v)})
	}
	_, err = d.ReadToken()
	return err
}

// valueText returns the unquoted text of a JSON string, and the JSON text of
// any other value.
func valueText(value jsontext.Value) string {
	if value.Kind() != '"' {
		return string(value)
	}
	b, err := jsontext.AppendUnquote(nil, value)
	if err != nil {
		// Unreachable: the decoder has validated value.
		return string(value)
	}
	return string(b)
}

// appendField appends f to buffer. A value that is empty or contains a space, a
// tab, a line feed, a quote or an equals sign is quoted.
func appendField(buffer *bytes.Buffer, f field) {
	buffer.WriteString(f.name)
	buffer.WriteByte('=')
	v := f.value
	if v == "" || strings.ContainsAny(v, " \"=\n\t") {
		v = strconv.Quote(v)
	}
	buffer.WriteString(v)
}
