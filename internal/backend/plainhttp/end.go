package plainhttp

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/tcp"
)

// connectTimeout bounds the connection that confirms the end of an answer.
const connectTimeout = 500 * time.Millisecond

// endsWithConnection reports whether the end of the connection is the end of response. An
// answer that net/http has decompressed counts as one, since its length is not known.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// confirmEnd returns nil if the end of the connection of response is not that of its body, or
// if server still accepts a connection and keeps it open. It fails with an UnconfirmedEndError
// otherwise: the kernel ends the connections of a killed process in the same way as the process
// does. Another process that has got the address by then is not noticed, since the protocol
// does not identify the process that answers.
func confirmEnd(ctx context.Context, server sardineknot.BackendServer, response *http.Response) error {
	if !endsWithConnection(response) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", server.Address.String())
	if err == nil {
		err = tcp.StaysOpen(ctx, c)
	}
	if err == nil {
		return nil
	}
	return errors.WithStack(&sardineknot.UnconfirmedEndError{Server: server.Name, Cause: err})
}
