package twirp

import (
	"context"
	"strconv"
	"time"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/answers"
)

const (
	// replicaTimeout bounds the call that stores a replica on another host.
	replicaTimeout = 250 * time.Millisecond
	// replicaRetention is the time for which a replica is kept.
	replicaRetention = 10 * time.Minute
	// maxReplicas bounds the replicas stored per shard.
	maxReplicas = 1024
	// maxReplicaRanks bounds the number of rankings tried to find a host other
	// than this one.
	maxReplicaRanks = 8
)

// replica is a record stored on behalf of the owner of its shard.
type replica struct {
	record sardineknot.AnswerRecord
	// storedAt is the time at which the replica was stored.
	storedAt time.Time
}

// replicate stores a replica of r on another host if this host owns the shard
// s. Errors are ignored: replication is best effort.
func (d *Directory) replicate(ctx context.Context, s *shardView, r sardineknot.AnswerRecord) {
	_, l, _ := s.snapshot()
	o, ok := d.replicaHost(r.Key)
	if l == nil || !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	_, _ = d.client(o).Register(ctx, &rpc.RegisterRequest{Record: encode(r), Copy: true})
}

// replicaHost returns the live host that stores replicas for the shard of k. ok
// is false if there is no other live host.
func (d *Directory) replicaHost(k sardineknot.RequestKey) (o sardineknot.EntryHost, ok bool) {
	for i := range maxReplicaRanks {
		o, ok = d.Ranker.Owner(shardName(shardIndex(k)) + "/" + strconv.Itoa(i))
		if ok && o.ID != d.Members.Self().ID {
			return o, true
		}
	}
	return o, false
}

// storeReplica stores r for the next owner of the shard and removes expired
// replicas. It ignores r if the shard has maxReplicas.
func (s *shardView) storeReplica(now time.Time, r sardineknot.AnswerRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replicas == nil {
		s.replicas = make(map[sardineknot.RequestKey]replica)
	}
	for k, c := range s.replicas {
		if now.Sub(c.storedAt) > replicaRetention {
			delete(s.replicas, k)
		}
	}
	if len(s.replicas) < maxReplicas {
		s.replicas[r.Key] = replica{record: r, storedAt: now}
	}
}

// deleteReplica removes the replica of r and reports whether there was one. A
// replica of another host or incarnation is left in place.
func (s *shardView) deleteReplica(r sardineknot.AnswerRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.replicas[r.Key]
	if !ok || !sameHost(c.record, r) {
		return false
	}
	delete(s.replicas, r.Key)
	return true
}

// replicasOfDeadHosts returns the replicated records whose hosts are dead.
func (s *shardView) replicasOfDeadHosts(isDead func(sardineknot.EntryHostID, sardineknot.Incarnation) bool) []sardineknot.AnswerRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []sardineknot.AnswerRecord
	for _, c := range s.replicas {
		if isDead(c.record.Host, c.record.Incarnation) {
			l = append(l, c.record)
		}
	}
	return l
}
