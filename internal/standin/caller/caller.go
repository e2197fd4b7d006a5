// Package caller is a stand-in of a caller. It asks an entry host which
// address to use, keeps to the answer, and goes on at another host with the
// tokens that it has when a host fails.
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

// maxLineBytes bounds one line of a stream.
const maxLineBytes = 1 << 20

// patiencePause is the pause before a request that did not run is asked again.
const patiencePause = 100 * time.Millisecond

// Caller asks for one answer. Set the fields before use.
type Caller struct {
	// Via lists entry hosts to ask for a placement.
	Via []netip.AddrPort
	// Direct connects to the hosts in Via, without a placement.
	Direct bool
	// Account, Work and ID identify the request.
	Account string
	Work    string
	ID      string
	// Prompt is the prompt, or the body of a service call.
	Prompt string
	// MaxTokens is the length of the answer.
	MaxTokens int
	// Service asks for a service call.
	Service bool
	// Attempts bounds the connections to entry hosts.
	Attempts int
	// Cut disconnects after that number of tokens, if it is positive.
	Cut int
	// From is the index of the first token to ask for.
	From int
	// Timeout bounds one connection.
	Timeout time.Duration
	// Patience is the time for which a request that did not run is asked again
	// every patiencePause, whatever Attempts says.
	Patience time.Duration
	// Deadline, if positive, is told as the time of each connection plus
	// Deadline.
	Deadline time.Duration
	// Patient asks again after an answer of type "not_run", at the time that
	// it names.
	Patient bool

	// Outcome is set by Ask to "whole", "cut", "failed" or the type of the
	// last error.
	Outcome string
	// Tokens is set by Ask to the index after the last token.
	Tokens int
	// Wrong is set by Ask to the number of tokens that are out of order or of
	// another answer.
	Wrong int
	// Connections is set by Ask to the number of connections to entry hosts.
	Connections int
	// RetryAfter is set by Ask to the last header Retry-After.
	RetryAfter string
	// Body is set by Ask to the answer of a service call, or the last error.
	Body string
	// FirstToken is set by Ask to the time from the start to the first token.
	FirstToken time.Duration
}

// String returns what the caller got as one line of key=value pairs.
func (c *Caller) String() string {
	return fmt.Sprintf("outcome=%s tokens=%d wrong=%d connections=%d retry_after=%q body=%q",
		c.Outcome, c.Tokens, c.Wrong, c.Connections, c.RetryAfter, c.Body)
}

// Ask asks until it has a whole answer, a final error, or no attempts left.
func (c *Caller) Ask(ctx context.Context) {
	c.Outcome = "failed"
	c.Tokens = c.From
	t := time.Now()
	for i := range c.Attempts {
		l := c.hosts(ctx)
		if len(l) == 0 {
			continue
		}
		if c.ask(ctx, l[i%len(l)], t) {
			return
		}
	}
}

// ask connects to a, again and again while the request does not run and the
// patience lasts, and reports whether the result is final.
func (c *Caller) ask(ctx context.Context, a netip.AddrPort, start time.Time) bool {
	for {
		c.Connections++
		c.Outcome = "failed"
		f := c.attempt(ctx, a, start)
		if c.Outcome != "not_run" || time.Since(start) > c.Patience {
			return f
		}
		time.Sleep(patiencePause)
	}
}

// hosts returns the entry hosts to connect to, in order.
func (c *Caller) hosts(ctx context.Context) []netip.AddrPort {
	if c.Direct {
		return c.Via
	}
	for _, v := range c.Via {
		l, err := c.placement(ctx, v)
		if err == nil && len(l) > 0 {
			return l
		}
	}
	return nil
}

func (c *Caller) placement(ctx context.Context, v netip.AddrPort) ([]netip.AddrPort, error) {
	h, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.String()+"/v1/placement?account="+c.Account, nil)
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

// attempt connects to a and reports whether the result is final.
func (c *Caller) attempt(ctx context.Context, a netip.AddrPort, start time.Time) bool {
	p, err := c.post(ctx, a)
	if err != nil {
		c.Body = err.Error()
		return false
	}
	defer p.Body.Close()
	c.RetryAfter = p.Header.Get("Retry-After")
	if p.StatusCode != http.StatusOK || c.Service {
		return c.whole(p)
	}
	return c.readStream(p.Body, start)
}

func (c *Caller) client() *http.Client {
	return &http.Client{Timeout: c.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

func (c *Caller) post(ctx context.Context, a netip.AddrPort) (*http.Response, error) {
	u := "http://" + a.String() + "/v1/completions"
	b, err := json.Marshal(map[string]any{"prompt": c.Prompt, "max_tokens": c.MaxTokens, "stream": true})
	if err != nil {
		return nil, err
	}
	if c.Service {
		u = "http://" + a.String() + "/v1/services"
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

// whole reads an answer that is not a stream. It is final unless it says that
// the caller may ask again.
func (c *Caller) whole(p *http.Response) bool {
	b, err := io.ReadAll(p.Body)
	c.Body = string(b)
	if err != nil {
		return false
	}
	var e struct{ Error struct{ Type string } }
	if p.StatusCode == http.StatusOK || json.Unmarshal(b, &e) != nil {
		c.Outcome = "whole"
		return true
	}
	c.Outcome = e.Error.Type
	return c.Outcome != "interrupted" && c.Outcome != "failed" && !c.comeBack()
}

// comeBack waits for the time at which to ask again, if there is one.
func (c *Caller) comeBack() bool {
	n, err := strconv.Atoi(c.RetryAfter)
	if err != nil || !c.Patient || c.Outcome != "not_run" {
		return false
	}
	time.Sleep(time.Duration(n) * time.Second)
	return true
}

// readStream reads tokens until the end mark. Reaching it is final.
func (c *Caller) readStream(b io.Reader, start time.Time) bool {
	h := fnv.New32a()
	_, _ = io.WriteString(h, c.Prompt)
	s := bufio.NewScanner(b)
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
			c.take(i, v, engine.Token(h.Sum32(), c.Tokens))
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

// take counts one token and compares it with the expected text.
func (c *Caller) take(id, data, expected string) {
	var d struct{ Choices []struct{ Text string } }
	err := json.Unmarshal([]byte(data), &d)
	if err != nil || id != strconv.Itoa(c.Tokens) || len(d.Choices) != 1 || d.Choices[0].Text != expected {
		c.Wrong++
	}
	c.Tokens++
}
