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
	// id is the identifier of the event, or zero if it has none.
	id  int
	end bool
}

// readEvent reads the next complete event, and skips events up to resumeAfter.
func (a *attempt) readEvent() (*event, error) {
	for {
		e, err := readEvent(a.reader, a.Memory)
		if err != nil {
			return nil, err
		}
		if e.end || e.id == 0 || e.id > a.resumeAfter {
			return e, nil
		}
	}
}

// readEvent reads an event from r. While it is incomplete, it takes its memory from
// budget. Comments and empty lines are no event: a server may send them although its
// stream stands still.
func readEvent(r *bufio.Reader, budget *memory.Budget) (*event, error) {
	var b bytes.Buffer
	var held int64
	defer budget.Release(&held)
	e := &event{}
	n := 0     // the position in b at which the current line begins
	f := false // whether a line with a field was read
	w := true  // whether no line was read after the last empty one
	for {
		if b.Len() > maxEventBytes || !budget.Grow(&held, growthFactor*b.Len()) {
			return nil, errors.WithStack(errEventTooLong)
		}
		p, err := r.ReadSlice('\n')
		b.Write(p)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && (f || !w || b.Len() > n):
			return nil, errors.WithStack(errTruncated)
		case errors.Is(err, io.EOF):
			e.text, e.end = b.Bytes(), true
			return e, nil
		case err != nil:
			return nil, err
		}
		l := bytes.TrimRight(b.Bytes()[n:], "\r\n")
		n = b.Len()
		if len(l) == 0 && f {
			e.text = b.Bytes()
			return e, nil
		}
		w = len(l) == 0
		f = f || !w && l[0] != ':'
		if v, ok := bytes.CutPrefix(l, []byte("id:")); ok {
			e.id, _ = strconv.Atoi(string(bytes.TrimSpace(v)))
		}
	}
}
