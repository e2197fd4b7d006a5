package services_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/join"
	"sardineknot.example/sardineknot/internal/answer/service"
	"sardineknot.example/sardineknot/internal/backend/breaker"
	"sardineknot.example/sardineknot/internal/backend/retry"
	"sardineknot.example/sardineknot/internal/caller/services"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// answerBytes is the length of an answer that net/http does not hold back until its length is
// known.
const answerBytes = 64 << 10

// servers is source with a backend server.
type servers struct{ source }

func (s servers) Current() *sardineknot.Configuration {
	c := *s.source.Current()
	c.BackendServers = []sardineknot.BackendServer{{Name: "a", Role: sardineknot.RolePlain, Service: "dagbok-app", Slots: 1, State: sardineknot.BackendJoining}}
	return &c
}

// longService is a fake sardineknot.PlainServiceClient whose answers have answerBytes.
type longService struct{}

func (longService) Call(context.Context, sardineknot.BackendServer, sardineknot.ServiceCall) (sardineknot.ServiceAnswer, error) {
	return sardineknot.ServiceAnswer{Status: http.StatusOK, ContentType: "text/plain", Body: make([]byte, answerBytes)}, nil
}

// TestAnswerLength guards against an answer without a length and without chunks, as callers of
// HTTP/1.0 get it: its end is that of the connection, which the kernel also ends if the
// process is killed, and a part of it looks complete.
func TestAnswerLength(t *testing.T) {
	is := is.New(t)
	v := httptest.NewServer(&services.Handler{Configuration: servers{}, Clock: clock.System{}, Runner: &service.Runner{
		Service: longService{}, Configuration: servers{}, Calls: join.NewGroup(time.Minute), Circuits: breaker.NewSet(rand.NewPCG(1, 1)),
		Retries: retry.NewPolicy(rand.NewPCG(1, 1)), Clock: clock.System{}, Log: zerolog.Nop(),
	}})
	defer v.Close()
	c, err := net.Dial("tcp", v.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = fmt.Fprint(c, "POST /v1/services HTTP/1.0\r\nX-Client-Account: verk\r\nX-Request-Id: r1\r\nX-Work: trip-lookup\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(p.StatusCode, http.StatusOK)
	is.Equal(p.ContentLength, int64(answerBytes))
	b, err := io.ReadAll(p.Body)
	is.NoErr(err)
	is.Equal(len(b), answerBytes)
}
