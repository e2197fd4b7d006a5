package events

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot/internal/backend/memory"
)

const (
	// maxEventBytes bounds the size of an event.
	maxEventBytes = 1 << 20
	// growthFactor is the memory of a buffer that grows, with the copies that it has
	// left behind, relative to its contents.
	growthFactor = 3
	// readBytes is the size of the read buffer.
	readBytes = 4 << 10
)

// errTruncated reports a stream that ended in the middle of an event, or without
// one.
var errTruncated = errors.New("stream ended before an event was complete")

// errEventTooLong reports an event that is longer than maxEventBytes, or than the
// memory that is left.
var errEventTooLong = errors.New("event is too long")

// event is an event of a stream, with the comments before it. The last event is followed
// by one with end set, whose text holds the comments after it.
type event struct {
	text []byte
	// id is the identifier of the event. It is zero if the event has none, or one that
	// is not a positive number.
	id int
	// data is set if the event has a data field. Other fields alone are no event of the
	// answer.
	data bool
	end  bool
}

// unnumbered reports whether the event is part of the answer and has no number.
func (e *event) unnumbered() bool { return e.data && e.id == 0 }

// readEvent reads an event from r. While it is incomplete, it takes its memory from
// budget. Comments and empty lines are no event: a server may send them although its
// stream stalls.
func readEvent(r *bufio.Reader, budget *memory.Budget) (*event, error) {
	b := &partialEvent{blank: true}
	var held int64
	defer budget.Release(&held)
	for {
		if b.text.Len() > maxEventBytes || !budget.Grow(&held, growthFactor*b.text.Len()) {
			return nil, errors.WithStack(errEventTooLong)
		}
		p, err := r.ReadSlice('\n')
		b.text.Write(p)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && b.truncated():
			return nil, errors.WithStack(errTruncated)
		case errors.Is(err, io.EOF):
			return &event{text: b.text.Bytes(), end: true}, nil
		case err != nil:
			return nil, err
		}
		if b.endLine() {
			return &event{text: b.text.Bytes(), id: b.id, data: b.data}, nil
		}
	}
}

// partialEvent is an event of which some lines were read.
type partialEvent struct {
	text bytes.Buffer
	id   int
	// line is the position in text at which the current line begins.
	line int
	// fields is set once a line with a field was read, and blank if the last line was
	// empty or there is none.
	fields bool
	blank  bool
	// data is set once a line of the data field was read.
	data bool
}

// endLine records the line that was read last, and reports whether the event is complete.
func (p *partialEvent) endLine() bool {
	l := bytes.TrimRight(p.text.Bytes()[p.line:], "\r\n")
	p.line = p.text.Len()
	p.blank = len(l) == 0
	if p.blank {
		return p.fields
	}
	p.fields = p.fields || l[0] != ':'
	p.data = p.data || bytes.HasPrefix(l, []byte("data"))
	if v, ok := bytes.CutPrefix(l, []byte("id:")); ok {
		p.id = parseID(string(bytes.TrimSpace(v)))
	}
	return false
}

// parseID returns the number that text states, or zero if it is not a positive one.
func parseID(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return max(0, n)
}

// truncated reports whether the stream must not end after the bytes that were read.
func (p *partialEvent) truncated() bool {
	return p.fields || !p.blank || p.text.Len() > p.line
}
