package main

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/google/subcommands"

	"sardineknot.example/sardineknot/internal/standin/engine"
	"sardineknot.example/sardineknot/internal/standin/fault"
	"sardineknot.example/sardineknot/internal/standin/record"
)

// crashStatus is the exit status after an injected crash.
const crashStatus = 3

// engineCommand runs a stand-in for a model engine.
type engineCommand struct {
	listen   string
	name     string
	model    string
	version  string
	role     string
	slots    int
	interval time.Duration
	prefill  time.Duration
	eviction time.Duration
}

func (*engineCommand) Name() string     { return "engine" }
func (*engineCommand) Synopsis() string { return "run a stand-in for a model engine" }
func (*engineCommand) Usage() string {
	return "engine -name engine-1 -listen 127.0.0.1:7100\n  Serves completions that are a function of the prompt.\n"
}

func (c *engineCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar(&c.name, "name", "engine", "name of the engine")
	f.StringVar(&c.model, "model", "", "name of the model")
	f.StringVar(&c.version, "version", "", "version of the model")
	f.StringVar(&c.role, "role", "", "role of the engine: Prefill or Decode")
	f.IntVar(&c.slots, "slots", 20, "number of concurrent decodes")
	f.DurationVar(&c.interval, "interval", 5*time.Millisecond, "time between tokens")
	f.DurationVar(&c.prefill, "prefill", time.Millisecond, "prefill time for each prompt token")
	f.DurationVar(&c.eviction, "eviction", 800*time.Millisecond, "time after which the result of a prefill is evicted")
}

func (c *engineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	f := &fault.Injector{}
	s := &engine.Server{
		Name:            c.name,
		Address:         c.listen,
		Model:           c.model,
		Version:         c.version,
		Role:            c.role,
		Slots:           c.slots,
		TokenInterval:   c.interval,
		PrefillPerToken: c.prefill,
		EvictionDelay:   c.eviction,
		Faults:          f,
		Log:             &record.Recorder{},
		Crash:           func() { os.Exit(crashStatus) },
	}
	return serve(ctx, c.listen, f, s)
}
