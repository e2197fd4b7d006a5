package workload

import (
	"time"

	"sardineknot.example/sardineknot"
)

// Akstursbok returns a workload of short prompts in daily bursts on eleven
// engines. Decode capacity is its bottleneck.
func Akstursbok() Workload {
	return Workload{
		Name:       "akstursbok",
		Zones:      []sardineknot.AvailabilityZone{"reykjavik-a", "akureyri-b", "egilsstadir-c", "selfoss-d"},
		EntryHosts: 8,
		callers: callers{
			Accounts: []account{
				{Name: "pipulagnir", Weight: 4, AnswerFactor: 1, BurstFactor: 5, BurstEvery: 20 * time.Second, BurstLength: 2 * time.Second},
				{Name: "rafverk", Weight: 3, AnswerFactor: 1.2, BurstFactor: 1},
				{Name: "tresmidja", Weight: 2, AnswerFactor: 0.7, BurstFactor: 1},
				{Name: "bokhald", Weight: 2, AnswerFactor: 1.4, BurstFactor: 3, BurstEvery: 15 * time.Second, BurstLength: 2 * time.Second},
				{Name: "malun", Weight: 1, AnswerFactor: 0.9, BurstFactor: 1},
				{Name: "murverk", Weight: 1, AnswerFactor: 0.8, BurstFactor: 1},
			},
			Kinds: []kind{
				{
					Name: "trip-summary", Weight: 8, FirstToken: 1400 * time.Millisecond, PerToken: 34 * time.Millisecond, MaxTokens: 800,
					PromptMedian: 900, PromptSigma: 0.5, PromptMax: 4000, AnswerMedian: 180, AnswerSigma: 0.5,
				},
				{
					Name: "tax-note", Weight: 2, Priority: 1, FirstToken: 1400 * time.Millisecond, PerToken: 34 * time.Millisecond, MaxTokens: 1500,
					PromptMedian: 1800, PromptSigma: 0.5, PromptMax: 8000, AnswerMedian: 420, AnswerSigma: 0.5,
				},
			},
			CancelShare: 0.03, CancelAfter: 5 * time.Second, TimeoutFactor: 2, MaxResubmissions: 3, ResubmissionJitter: 0.2,
		},
		engines: engines{
			PrefillEngines: 3, DecodeEngines: 8,
			PrefillBase: 8 * time.Millisecond, PrefillPerToken: 90 * time.Microsecond,
			CachePieces: 100,
			Slots:       20, MemoryPieces: 60,
			IntervalBase: 14 * time.Millisecond, IntervalPerRequest: 900 * time.Microsecond, OvercommitFactor: 3,
			CacheLifetime: 800 * time.Millisecond, BytesPerToken: 128 << 10,
			ReportEvery: 250 * time.Millisecond, ReportLag: 250 * time.Millisecond,
		},
		network: network{MessageDelay: 500 * time.Microsecond, IntraZoneRate: 12e9, InterZoneRate: 5e9},
	}
}

// Kessler returns a workload of long documents, each of which occurs in several
// prompts, on twelve engines. Prefill capacity is its bottleneck.
func Kessler() Workload {
	return Workload{
		Name:       "kessler",
		Zones:      []sardineknot.AvailabilityZone{"curitiba-a", "curitiba-b", "ponta-grossa", "guarapuava"},
		EntryHosts: 8,
		callers: callers{
			Accounts: []account{
				{Name: "prefeitura", Weight: 4, AnswerFactor: 1, BurstFactor: 4, BurstEvery: 25 * time.Second, BurstLength: 3 * time.Second},
				{Name: "arboristas", Weight: 3, AnswerFactor: 0.8, BurstFactor: 1},
				{Name: "cartorio", Weight: 2, AnswerFactor: 1.3, BurstFactor: 1},
				{Name: "proprietarios", Weight: 2, AnswerFactor: 1, BurstFactor: 1},
				{Name: "ministerio", Weight: 1, AnswerFactor: 1.2, BurstFactor: 1},
			},
			Kinds: []kind{
				{
					Name: "dossier-summary", Weight: 6, Priority: 1, FirstToken: 3 * time.Second, PerToken: 34 * time.Millisecond, MaxTokens: 800,
					PromptMedian: 300, PromptSigma: 0.5, PromptMax: 1500, AnswerMedian: 200, AnswerSigma: 0.5,
					Documents: 80, DocumentSkew: 0.8, DocumentMedian: 10000, DocumentSigma: 0.5, DocumentMax: 26000,
				},
				{
					Name: "order-status", Weight: 2, FirstToken: 1400 * time.Millisecond, PerToken: 34 * time.Millisecond, MaxTokens: 300,
					PromptMedian: 500, PromptSigma: 0.4, PromptMax: 2000, AnswerMedian: 60, AnswerSigma: 0.4,
				},
			},
			CancelShare: 0.03, CancelAfter: 5 * time.Second, TimeoutFactor: 2, MaxResubmissions: 3, ResubmissionJitter: 0.2,
		},
		engines: engines{
			PrefillEngines: 6, DecodeEngines: 6,
			PrefillBase: 8 * time.Millisecond, PrefillPerToken: 60 * time.Microsecond,
			CachePieces: 120, CachedShare: 0.35,
			Slots: 20, MemoryPieces: 140,
			IntervalBase: 14 * time.Millisecond, IntervalPerRequest: 900 * time.Microsecond, OvercommitFactor: 3,
			CacheLifetime: 800 * time.Millisecond, BytesPerToken: 128 << 10,
			ReportEvery: 250 * time.Millisecond, ReportLag: 250 * time.Millisecond,
		},
		network: network{MessageDelay: 500 * time.Microsecond, IntraZoneRate: 12e9, InterZoneRate: 5e9},
	}
}
