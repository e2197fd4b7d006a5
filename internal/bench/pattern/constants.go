package pattern

import (
	"time"

	"sardineknot.example/sardineknot"
)

// All returns all patterns: the base pattern of each deployment, and variants of
// it with other bursts, with heavier load, with each kind of fault, and with
// callers that disconnect early.
func All() []Pattern {
	var l []Pattern
	for _, p := range []Pattern{akstursbok(), kessler(), annex()} {
		l = append(l, p)
		l = append(l, variants(p)...)
	}
	u := uneven()
	h := uneven()
	h.Name += "/heavy"
	h.Bursts = append(h.Bursts, burst{From: 0, Length: h.Duration, Factor: 1.3})
	return append(l, u, h)
}

// variants returns the patterns that are derived from base. The variant
// "bursts" corresponds to deploy/days/bursts-of-callers.toml.
func variants(base Pattern) []Pattern {
	s := base
	s.Name += "/single burst"
	s.Bursts = []burst{{Kind: s.Kinds[0].Name, From: 8 * time.Second, Length: 4 * time.Second, Factor: 3}}
	l := []Pattern{s}
	w := base
	w.Name += "/bursts"
	w.Bursts = []burst{
		{From: 0, Length: base.Duration, Factor: 1.15},
		{From: 6 * time.Second, Length: 5 * time.Second, Factor: 1.9},
		{From: 17 * time.Second, Length: 4 * time.Second, Factor: 2.2},
		{Kind: base.Kinds[0].Name, From: 17 * time.Second, Length: 5 * time.Second, Factor: 2},
		{From: 27 * time.Second, Length: 4 * time.Second, Factor: 1.6},
	}
	l = append(l, w)
	h := base
	h.Name += "/heavy"
	h.Bursts = append([]burst{{From: 0, Length: h.Duration, Factor: 1.25}}, base.Bursts...)
	l = append(l, h)
	for _, f := range []fault{
		{Kind: FaultCrash, From: 18 * time.Second, Length: 5 * time.Second, Share: 0.2},
		{Kind: FaultCacheLoss, From: 17 * time.Second, Length: 4 * time.Second, Share: 0.35},
		{Kind: FaultSlowLinks, From: 17 * time.Second, Length: 6 * time.Second, Share: 0.3, Factor: 30},
		{Kind: FaultSlowEngines, From: 8 * time.Second, Length: 6 * time.Second, Share: 1.0 / 6, Factor: 4.5},
		{Kind: FaultSchedulerLoss, From: 18 * time.Second, Length: 1600 * time.Millisecond},
	} {
		v := base
		v.Name += "/" + f.Kind
		v.Faults = []fault{f}
		l = append(l, v)
	}
	g := base
	g.Name += "/callers leave"
	g.DisconnectShare = 0.2
	return append(l, g)
}

// akstursbok returns the pattern of a deployment of eleven engines, whose slots
// are few and whose KV caches are large.
func akstursbok() Pattern {
	e := commonEngines()
	e.PrefillEngines, e.DecodeEngines = 3, 8
	e.Slots, e.Memory = 24, 76997
	e.StepBase, e.StepPerRequest, e.StepPerThousand = 588*time.Microsecond, 3360*time.Nanosecond, 1220*time.Nanosecond
	e.FirstTokenOverhead, e.EventTokens = 3400*time.Microsecond, 73
	e.TransferPerToken, e.TransferSetup = 226*time.Nanosecond, 310*time.Microsecond
	c := commonCallers("trip-summary", "tax-note", 8.6, 0.45)
	c.Bursts[0].Factor, c.Bursts[1].Factor = 1.9, 2.2
	return Pattern{
		Name: "akstursbok", Duration: 34 * time.Second, engines: e, callers: c,
		Zones: []sardineknot.AvailabilityZone{"reykjavik-a", "akureyri-b", "egilsstadir-c", "selfoss-d"},
	}
}

// kessler returns the pattern of a deployment of twelve engines with many slots.
func kessler() Pattern {
	e := commonEngines()
	e.PrefillEngines, e.DecodeEngines = 3, 9
	e.Slots, e.Memory = 48, 95864
	e.StepBase, e.StepPerRequest, e.StepPerThousand = 592*time.Microsecond, 1720*time.Nanosecond, 1630*time.Nanosecond
	e.FirstTokenOverhead, e.EventTokens = 5*time.Millisecond, 72
	e.TransferPerToken, e.TransferSetup = 119*time.Nanosecond, 210*time.Microsecond
	c := commonCallers("dossier-summary", "report-opinion", 10.1, 1.34)
	c.Bursts[0].Factor, c.Bursts[1].Factor = 1.8, 2.1
	return Pattern{
		Name: "kessler", Duration: 32 * time.Second, engines: e, callers: c,
		Zones: []sardineknot.AvailabilityZone{"curitiba-a", "curitiba-b", "ponta-grossa", "guarapuava"},
	}
}

// annex returns the pattern of a deployment of 66 engines with few slots, which
// one scheduler serves.
func annex() Pattern {
	p := akstursbok()
	p.Name = "annex"
	p.PrefillEngines, p.DecodeEngines = 17, 49
	p.Slots, p.Memory = 16, 70837
	for i, r := range []float64{60.1, 2.37} {
		p.Kinds[i].Rate = r
	}
	p.Zones = append(p.Zones, "isafjordur-e", "hofn-f")
	return p
}

// uneven returns the pattern of a deployment of 24 engines of unequal speed, with
// noise and a demand that rises and falls by half.
func uneven() Pattern {
	p := akstursbok()
	p.Name, p.Duration = "uneven", 60*time.Second
	p.PrefillEngines, p.DecodeEngines = 8, 16
	p.Slots, p.Memory, p.EventTokens = 12, 74528, 74
	p.Speeds = []float64{0.7, 0.7, 1.7}
	p.NoiseShare, p.NoiseFactor, p.NoiseLength = 0.15, 2.5, 600*time.Millisecond
	p.RoleSwitch = 6 * time.Second
	p.RateAmplitude, p.RatePeriod = 0.55, 17*time.Second
	for i, r := range []float64{20.9, 1.1} {
		p.Kinds[i].Rate = r
	}
	p.Bursts = []burst{
		{From: 12 * time.Second, Length: 5 * time.Second, Factor: 2.2},
		{From: 30 * time.Second, Length: 4 * time.Second, Factor: 3},
		{From: 46 * time.Second, Length: 5 * time.Second, Factor: 1.8},
	}
	return p
}

// commonEngines returns the engine parameters that all deployments share.
func commonEngines() engines {
	return engines{
		Queue: 2, Block: 16,
		PrefillPerToken: 18 * time.Microsecond, LocalPrefillChunk: 512, LocalPrefillFactor: 2,
		CacheLifetime: 500 * time.Millisecond, CrossZoneFactor: 2, MaxTransferWait: 2 * time.Second,
		MessageDelay: time.Millisecond, ProgressEvery: 250 * time.Millisecond,
		ReportEvery: 500 * time.Millisecond, ReportLag: 900 * time.Millisecond,
		CrashDetection: time.Second,
	}
}

// commonCallers returns the caller parameters that all deployments share, for
// two kinds of work. firstRate and secondRate are the mean numbers of requests
// per second for firstWork and secondWork.
func commonCallers(firstWork, secondWork sardineknot.WorkName, firstRate, secondRate float64) callers {
	k := kind{
		PromptMean: 5000, PromptSpread: 0.5, PromptMax: 11000, SharedTokens: 200,
		EventsMean: 70, EventsSpread: 0.5, EventsMax: 130, HintSpread: 0.5,
	}
	l := []kind{k, k}
	l[0].Name, l[0].Rate, l[0].Attempts = firstWork, firstRate, 2
	l[1].Name, l[1].Rate, l[1].Attempts = secondWork, secondRate, 1
	return callers{
		Kinds: l, Bursts: commonBursts(firstWork, secondWork), RateAmplitude: 0.15, RatePeriod: 11 * time.Second,
		FirstEventTarget: 900 * time.Millisecond, PauseTarget: 300 * time.Millisecond, CallerTimeout: 14 * time.Second,
		MaxResubmissions: 1, DisconnectWithin: 3 * time.Second, LateValue: 0.2,
	}
}

// commonBursts returns the bursts that all deployments share. The factors of the
// first two, which apply to both kinds of work, are left for the deployment to
// set.
func commonBursts(firstWork, secondWork sardineknot.WorkName) []burst {
	return []burst{
		{From: 6 * time.Second, Length: 5 * time.Second},
		{From: 17 * time.Second, Length: 4 * time.Second},
		{Kind: firstWork, From: 17 * time.Second, Length: 5 * time.Second, Factor: 2},
		{Kind: secondWork, From: 22 * time.Second, Length: 5 * time.Second, Factor: 2},
		{From: 27 * time.Second, Length: 4 * time.Second, Factor: 1.6},
	}
}
