package responsehead

import (
	"net"
	"sync"
)

// Conn is a connection to a server, of which responses are read. A read fails with a
// sardineknot.MalformedHeadError before the end of a head that breaks the grammar, so that
// its reader never has a complete one. All reads after that fail as well.
type Conn struct {
	net.Conn

	// mu guards head, since Begin may be called during a read.
	mu   sync.Mutex
	head head
}

// NewConn returns a Conn for connection. No head is checked before Begin is called.
func NewConn(connection net.Conn) *Conn { return &Conn{Conn: connection} }

// Begin begins a head. It must be called before each request is written, and before each
// further response to it is read. read holds the bytes that were read from c and are not used
// yet. It fails like Read.
func (c *Conn) Begin(read []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.begin()
	_, err := c.head.check(read)
	return err
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	m, e := c.head.check(b[:n])
	if e != nil {
		return m, e
	}
	return n, err
}
