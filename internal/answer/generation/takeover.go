package generation

import (
	"context"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// adoptingPool is implemented by slot pools that can register a running job
// that another host held before.
type adoptingPool interface {
	Adopt(r sardineknot.RunningJob)
}

// canTakeOver reports whether the answer can be taken over from the host that
// record p names. That host is dead or is an earlier incarnation of this
// host. A takeover requires that p names an engine that was still generating
// the answer.
func (n *run) canTakeOver(p sardineknot.AnswerRecord) bool {
	return !p.Ended && p.DecodeEngine != "" && n.checkProducer(p) != nil
}

// takeOver continues the attempt that a dead host left on an engine. It reads
// the stream from its first token, so that a later attempt can continue from
// these tokens if the engine fails as well. If the engine has only later
// tokens, takeOver reads the stream from the first token that the caller does
// not have.
func (n *run) takeOver(ctx context.Context, p sardineknot.AnswerRecord) error {
	s, err := n.server(p.DecodeEngine)
	if err != nil {
		return err
	}
	n.engineCalled = true
	r := n.record.Attempt
	n.record.Attempt, n.record.DecodeEngine = p.Attempt, p.DecodeEngine
	defer func() { n.record.Attempt, n.record.DecodeEngine = r, "" }()
	err = n.updateRecord(ctx)
	if err != nil {
		return err
	}
	a := n.newAttempt()
	a.server = p.DecodeEngine
	a.usedServers = append(a.usedServers, s)
	a.canLeave = n.canRestart
	if o, ok := n.Slots.(adoptingPool); ok {
		o.Adopt(sardineknot.RunningJob{Job: a.job, Grant: sardineknot.Grant{DecodeEngine: p.DecodeEngine}, Tokens: n.offset, TakenOver: true})
	}
	n.Log.Info().Stringer("event", sardineknot.LogAnswerTakenOver).Str("request", n.request.Key.String()).Str("from", string(p.Host)).Str("server", string(s.Name)).Send()
	err = a.resumeStream(ctx, s)
	a.finish(ctx, err)
	return err
}

// resumeStream resumes the stream on s from the first token or, if the
// engine refuses that, from the offset of the caller.
func (a *attempt) resumeStream(ctx context.Context, s sardineknot.BackendServer) error {
	c, err := a.Engine.Resume(ctx, s, a.engineRequest, 0)
	var f *sardineknot.RefusedError
	if errors.As(err, &f) && a.offset > 0 {
		c, err = a.Engine.Resume(ctx, s, a.engineRequest, a.offset)
		if err == nil {
			a.buffer.StartAt(a.offset)
		}
	}
	return a.streamTokens(ctx, s, c, err)
}
