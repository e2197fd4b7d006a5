package deployment

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/examples"
)

// example is the name of an example deployment.
const example = "akstursbok"

// startPlatform returns a deployment of example without entry hosts.
func startPlatform(t *testing.T) *Deployment {
	t.Helper()
	d, err := Start(t.Context(), examples.Files, example, 0, zerolog.Nop())
	is.New(t).NoErr(err)
	return d
}

// TestReservedAddress guards against another process that takes the port of an entry host
// before the host listens on it.
func TestReservedAddress(t *testing.T) {
	is := is.New(t)
	d := startPlatform(t)
	a, err := d.reserveAddress()
	is.NoErr(err)
	_, err = net.Listen("tcp", a.String())
	is.True(err != nil)
	is.NoErr(d.Stop())
}

// TestFailedEntryHost guards against a start that waits until its timeout for an entry host
// that has ended with an error.
func TestFailedEntryHost(t *testing.T) {
	is := is.New(t)
	d := startPlatform(t)
	s, err := d.settings(0)
	is.NoErr(err)
	is.NoErr(d.listeners[s.PeerAddress].Close())
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	err = d.run(ctx, []sardineknot.Settings{s})
	is.True(errors.Is(err, net.ErrClosed))
	is.NoErr(ctx.Err())
	is.True(errors.Is(d.Stop(), net.ErrClosed))
}
