package plain

import (
	"io"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// maxAnswerBytes bounds the size of an answer, whatever the budget of memory.
	maxAnswerBytes = 16 << 20
	// minChunkBytes and maxChunkBytes bound the pieces in which an answer is read.
	// A piece is twice as long as the one before.
	minChunkBytes = 2 << 10
	maxChunkBytes = 64 << 10
)

// errAnswerTooLong is the cause of the error for an answer longer than
// maxAnswerBytes, or longer than the memory that is left.
var errAnswerTooLong = errors.New("the answer is too long")

// answer is the body of an answer, in pieces.
type answer struct {
	chunks [][]byte
	// length is the number of bytes of all chunks, and held the memory that they
	// hold of the budget.
	length int
	held   int64
}

// write writes a to w.
func (a answer) write(w sardineknot.AnswerWriter) error {
	for _, c := range a.chunks {
		err := w.Write(c)
		if err != nil {
			return err
		}
	}
	return nil
}

// readAnswer returns the whole body of the response of server. An answer that is
// too long is an error, since a truncated one would look complete. The answer holds
// memory also if readAnswer fails.
func (r *Runner) readAnswer(server sardineknot.BackendServer, response *sardineknot.Response) (a answer, err error) {
	defer response.Body.Close()
	for n := minChunkBytes; err == nil; n = min(2*n, maxChunkBytes) {
		if a.length > maxAnswerBytes || !r.Memory.Grow(&a.held, a.length+n) {
			return a, errors.WithStack(&sardineknot.UnavailableError{Peer: string(server.Name), Cause: errAnswerTooLong})
		}
		var c []byte
		c, err = readChunk(response.Body, n)
		a.chunks = append(a.chunks, c)
		a.length += len(c)
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return a, err
}

// readChunk reads the given number of bytes from body, or fewer if it fails or
// ends before, with io.EOF then.
func readChunk(body io.Reader, bytes int) ([]byte, error) {
	c := make([]byte, bytes)
	n := 0
	for n < bytes {
		m, err := body.Read(c[n:])
		n += m
		if err != nil {
			return c[:n], err
		}
	}
	return c, nil
}
