// Package caller implements a stand-in for a client of the system. The client
// fetches a placement from an entry host and connects to the entry hosts that
// the placement lists, in order. If a connection fails, the client resumes the
// answer at the next entry host, after the last token that it received.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"sardineknot.example/sardineknot/internal/standin/engine"
)

// maxLineBytes is the maximum length of one line of a stream, in bytes.
const maxLineBytes = 1 << 20

// notRunRetryInterval is the pause before a request that was answered with
// "not_run" is sent again.
const notRunRetryInterval = 100 * time.Millisecond

// Caller sends one request until it has an answer. Set the fields before use. A
// Caller is not safe for concurrent use.
type Caller struct {
	// Via lists the entry hosts that the placement is fetched from. The first
	// non-empty placement is used.
	Via []netip.AddrPort
	// Direct connects to the hosts in Via without fetching a placement.
	Direct bool
	// Account, Work and ID identify the request.
	Account string
	Work    string
	ID      string
	// Prompt is the prompt of a generation or the body of a service call.
	Prompt string
	// MaxTokens is the number of tokens that a generation asks for.
	MaxTokens int
	// Service selects a service call instead of a generation.
	Service bool
	// Attempts is the maximum number of attempts. An attempt fetches a
	// placement and sends the request to one entry host. Retries within
	// Patience belong to the same attempt.
	Attempts int
	// Cut, if positive, is the value of Tokens at which the caller
	// disconnects.
	Cut int
	// From is the index of the first token that the caller requests.
	From int
	// Timeout is the time limit of one HTTP exchange, including the response
	// body.
	Timeout time.Duration
	// Patience is the time from the start of Do during which a request that
	// was answered with "not_run" is sent again to the same host every
	// notRunRetryInterval.
	Patience time.Duration
	// Deadline, if positive, is added to the time at which a request is sent,
	// and the sum is sent in its X-Deadline header.
	Deadline time.Duration
	// Patient makes the caller wait after an answer of type "not_run" for the
	// time in its Retry-After header, and then retry.
	Patient bool

	// Outcome is the result: "whole" for a complete answer, "cut" for a
	// disconnection by Cut, "failed" for a failed or incomplete response, and
	// otherwise the type in the last error body. Outcome and the fields below
	// are set by Do.
	Outcome string
	// Tokens is the index of the next expected token. It starts at From.
	Tokens int
	// Wrong is the number of tokens that were out of order or belonged to
	// another answer.
	Wrong int
	// Connections is the number of connections to entry hosts.
	Connections int
	// RetryAfter is the Retry-After header of the last response, or empty.
	RetryAfter string
	// Body is the answer of a service call or the last error.
	Body string
	// FirstToken is the time from the start of Do to the first token, or 0 if
	// no token was received.
	FirstToken time.Duration
}

// String returns the result as one line of key=value pairs.
func (c *Caller) String() string {
	return fmt.Sprintf("outcome=%s tokens=%d wrong=%d connections=%d retry_after=%q body=%q",
		c.Outcome, c.Tokens, c.Wrong, c.Connections, c.RetryAfter, c.Body)
}

// Do sends the request until it has a complete answer or a final error, or has
// used all attempts. It sets the result fields of c.
func (c *Caller) Do(ctx context.Context) {
	c.Outcome = "failed"
	c.Tokens = c.From
	t := time.Now()
	for i := range c.Attempts {
		l := c.entryHosts(ctx)
		if len(l) == 0 {
			continue
		}
		if c.attemptUntilRun(ctx, l[i%len(l)], t) {
			return
		}
	}
}

// attemptUntilRun sends the request to host. It sends the request again after
// each answer of type "not_run", until Patience has passed since start, and
// reports whether the last result is final.
func (c *Caller) attemptUntilRun(ctx context.Context, host netip.AddrPort, start time.Time) bool {
	for {
		c.Connections++
		c.Outcome = "failed"
		f := c.attempt(ctx, host, start)
		if c.Outcome != "not_run" || time.Since(start) > c.Patience {
			return f
		}
		time.Sleep(notRunRetryInterval)
	}
}

// entryHosts returns the entry hosts to connect to, in order, or nil if no host
// in Via returns a placement.
func (c *Caller) entryHosts(ctx context.Context) []netip.AddrPort {
	if c.Direct {
		return c.Via
	}
	for _, v := range c.Via {
		l, err := c.fetchPlacement(ctx, v)
		if err == nil && len(l) > 0 {
			return l
		}
	}
	return nil
}

func (c *Caller) fetchPlacement(ctx context.Context, host netip.AddrPort) ([]netip.AddrPort, error) {
	h, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host.String()+"/v1/placement?account="+c.Account, nil)
	if err != nil {
		return nil, err
	}
	p, err := c.client().Do(h)
	if err != nil {
		return nil, err
	}
	defer p.Body.Close()
	var a struct {
		EntryHosts []struct{ Address netip.AddrPort }
	}
	err = json.NewDecoder(p.Body).Decode(&a)
	if err != nil {
		return nil, err
	}
	var l []netip.AddrPort
	for _, e := range a.EntryHosts {
		l = append(l, e.Address)
	}
	return l, nil
}

// attempt sends the request to host once and reports whether the result is
// final.
func (c *Caller) attempt(ctx context.Context, host netip.AddrPort, start time.Time) bool {
	p, err := c.post(ctx, host)
	if err != nil {
		c.Body = err.Error()
		return false
	}
	defer p.Body.Close()
	c.RetryAfter = p.Header.Get("Retry-After")
	if p.StatusCode != http.StatusOK || c.Service {
		return c.readReply(p)
	}
	return c.readStream(p.Body, start)
}

func (c *Caller) client() *http.Client {
	return &http.Client{Timeout: c.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

func (c *Caller) post(ctx context.Context, host netip.AddrPort) (*http.Response, error) {
	u := "http://" + host.String() + "/v1/completions"
	b, err := json.Marshal(map[string]any{"prompt": c.Prompt, "max_tokens": c.MaxTokens, "stream": true})
	if err != nil {
		return nil, err
	}
	if c.Service {
		u = "http://" + host.String() + "/v1/services"
		b = []byte(c.Prompt)
	}
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	h.Header.Set("X-Client-Account", c.Account)
	h.Header.Set("X-Work", c.Work)
	h.Header.Set("X-Request-Id", c.ID)
	if c.Deadline > 0 {
		h.Header.Set("X-Deadline", time.Now().Add(c.Deadline).Format(time.RFC3339Nano))
	}
	if c.Tokens > 0 {
		h.Header.Set("Last-Event-ID", strconv.Itoa(c.Tokens-1))
	}
	return c.client().Do(h)
}

// readReply reads a response that is not a stream and reports whether it is
// final. Errors of the types "interrupted" and "failed" are not final. Neither
// is "not_run" if waitRetryAfter has waited for a retry. A body that is not
// JSON counts as a complete answer.
func (c *Caller) readReply(reply *http.Response) bool {
	b, err := io.ReadAll(reply.Body)
	c.Body = string(b)
	if err != nil {
		return false
	}
	var e struct{ Error struct{ Type string } }
	if reply.StatusCode == http.StatusOK || json.Unmarshal(b, &e) != nil {
		c.Outcome = "whole"
		return true
	}
	c.Outcome = e.Error.Type
	return c.Outcome != "interrupted" && c.Outcome != "failed" && !c.waitRetryAfter()
}

// waitRetryAfter waits for the time in the Retry-After header if Patient is set
// and the request did not run. It reports whether it waited.
func (c *Caller) waitRetryAfter() bool {
	n, err := strconv.Atoi(c.RetryAfter)
	if err != nil || !c.Patient || c.Outcome != "not_run" {
		return false
	}
	time.Sleep(time.Duration(n) * time.Second)
	return true
}

// readStream reads tokens until "[DONE]" or until Tokens reaches Cut, and sets
// Outcome accordingly. It returns false if the stream ends or fails earlier.
func (c *Caller) readStream(stream io.Reader, start time.Time) bool {
	h := fnv.New32a()
	_, _ = io.WriteString(h, c.Prompt)
	s := bufio.NewScanner(stream)
	s.Buffer(nil, maxLineBytes)
	i := ""
	for s.Scan() {
		k, v, _ := strings.Cut(s.Text(), ": ")
		switch {
		case k == "id":
			i = v
		case k == "data" && v == "[DONE]":
			c.Outcome = "whole"
			return true
		case k == "data" && i != "":
			c.recordToken(i, v, engine.Token(h.Sum32(), c.Tokens))
			i = ""
			if c.FirstToken == 0 {
				c.FirstToken = time.Since(start)
			}
			if c.Cut > 0 && c.Tokens >= c.Cut {
				c.Outcome = "cut"
				return true
			}
		case k == "data":
			c.Body = v
		}
	}
	return false
}

// recordToken counts one token and, if its index or text differs from the
// expected one, also counts it as wrong.
func (c *Caller) recordToken(id, data, expected string) {
	var d struct{ Choices []struct{ Text string } }
	err := json.Unmarshal([]byte(data), &d)
	if err != nil || id != strconv.Itoa(c.Tokens) || len(d.Choices) != 1 || d.Choices[0].Text != expected {
		c.Wrong++
	}
	c.Tokens++
}
