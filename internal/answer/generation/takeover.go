package generation

import (
	"context"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// adopter is a SlotPool that can be told of a job that another host held.
type adopter interface {
	Adopt(r sardineknot.RunningJob)
}

// inherits reports whether p is the record of a host that died while an engine
// generated the answer.
func (n *run) inherits(p sardineknot.AnswerRecord) bool {
	return !p.Ended && p.Decode != "" && n.check(p) != nil
}

// takeOver continues the attempt that a dead host has left on an engine. The
// whole stream is read again, so that the tokens are known should the engine
// die too. An engine that has only the later tokens gives those that the caller
// lacks.
func (n *run) takeOver(ctx context.Context, p sardineknot.AnswerRecord) error {
	s, err := n.server(p.Decode)
	if err != nil {
		return err
	}
	n.used = true
	a := n.record.Attempt
	n.record.Attempt, n.record.Decode = p.Attempt, p.Decode
	defer func() { n.record.Attempt, n.record.Decode = a, "" }()
	err = n.register(ctx)
	if err != nil {
		return err
	}
	t := n.trial()
	t.server = p.Decode
	t.touched = append(t.touched, s)
	if o, ok := n.Slots.(adopter); ok {
		o.Adopt(sardineknot.RunningJob{Job: t.job, Grant: sardineknot.Grant{Decode: p.Decode}, Tokens: n.offset, TakenOver: true})
	}
	n.Log.Info().Stringer("event", sardineknot.LogAnswerTakenOver).Str("request", n.request.Key.String()).Str("from", string(p.Host)).Str("server", string(s.Name)).Send()
	err = t.inherit(ctx, s)
	t.finish(ctx, err)
	return err
}

// inherit resumes the attempt on s from its start, or else from the caller's
// offset.
func (t *trial) inherit(ctx context.Context, s sardineknot.BackendServer) error {
	c, err := t.Engine.Resume(ctx, s, t.engineRequest, 0)
	var f *sardineknot.RefusedError
	if errors.As(err, &f) && t.offset > 0 {
		c, err = t.Engine.Resume(ctx, s, t.engineRequest, t.offset)
		if err == nil {
			t.buffer.Skip(t.offset)
		}
	}
	return t.follow(ctx, s, c, err)
}
