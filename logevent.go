package sardineknot

// LogEvent identifies what a log line reports. It is the value of the field
// "event". Lines about a call carry the identifier of the call in the field
// "request"; lines about a backend server or an entry host carry "server" or
// "peer". Fields with durations have names that end with "_ms" and are in
// milliseconds. No line contains any text of a prompt, a body or a header; parts
// of prompts appear as hashes.
type LogEvent string

// String implements fmt.Stringer.
func (e LogEvent) String() string { return string(e) }

// Events of a process.
const (
	// LogStarted reports that the process has started and serves requests.
	LogStarted LogEvent = "started"
	// LogListening reports an address on which the process listens.
	LogListening LogEvent = "listening"
	// LogConfirmed reports that a pause of this host no longer makes it count as
	// isolated. Either another entry host has answered it, or it knows no other
	// host, or no other host answered but the store did.
	LogConfirmed LogEvent = "confirmed"
	// LogLeaving reports that the process was asked to stop and begins to drain.
	LogLeaving LogEvent = "leaving"
	// LogStopRepeated reports a further stop signal to a stopping process, which has no
	// effect, with the number of calls that still run.
	LogStopRepeated LogEvent = "stop_repeated"
	// LogDrained reports that a stopping process has finished draining, with
	// the number of calls that still run and the time since LogLeaving.
	LogDrained LogEvent = "drained"
	// LogStopped is the last event of a process.
	LogStopped LogEvent = "stopped"
	// LogFailed reports the error that terminates the process.
	LogFailed LogEvent = "failed"
	// LogPaused reports that the process was not running for some time, for
	// instance because it was suspended.
	LogPaused LogEvent = "paused"
	// LogSettingsChanged reports that changed settings are in force, with their
	// values.
	LogSettingsChanged LogEvent = "settings_changed"
	// LogSettingsRefused reports why changed settings were rejected.
	LogSettingsRefused LogEvent = "settings_refused"
	// LogReloadAsked reports that a signal requested a reload of the settings.
	LogReloadAsked LogEvent = "reload_asked"
	// LogMetricsNotSent reports that writing the metrics to a client failed.
	LogMetricsNotSent LogEvent = "metrics_not_sent"
)

// Events of the store and of the data read from it.
const (
	// LogStoreLost reports that the store no longer answers, nor any of the
	// entry hosts that this host asked instead.
	LogStoreLost LogEvent = "store_lost"
	// LogStoreRegained reports that the store answers again.
	LogStoreRegained LogEvent = "store_regained"
	// LogStoreReachable reports a change in whether this entry host can reach
	// the store.
	LogStoreReachable LogEvent = "store_reachable"
	// LogStoreHistoryLost reports that the store has discarded changes that
	// this host has not read, so that all keys are read again.
	LogStoreHistoryLost LogEvent = "store_history_lost"
	// LogStoreRestored reports that the store came back from an older copy, with
	// the eras "old_era" and "new_era". This host reads all keys again and
	// writes its own again.
	LogStoreRestored LogEvent = "store_restored"
	// LogStoreSourceFailed reports the first failure, since the last answer, of a call for
	// changes of the store: to the store itself, or to the entry host "peer".
	LogStoreSourceFailed LogEvent = "store_source_failed"
	// LogStoreSource reports from where this host now reads the changes of the
	// store: from the store itself, or from the entry host "peer".
	LogStoreSource LogEvent = "store_source"
	// LogLargeValueRead reports that a large value was read apart from other changes: from
	// the store itself, or from the entry host "peer".
	LogLargeValueRead LogEvent = "large_value_read"
	// LogLargeValueDelayed reports the first failure, since the last part of a large value, of
	// a call for the next one.
	LogLargeValueDelayed LogEvent = "large_value_delayed"
	// LogLargeValueSkipped reports a fault: this host has read the changes of the store up to
	// a later revision than that of a large value, and lacks the value, which "peer" has. The
	// host reads it now.
	LogLargeValueSkipped LogEvent = "large_value_skipped"
	// LogConfigurationAccepted reports that a new configuration was read from
	// the store.
	LogConfigurationAccepted LogEvent = "configuration_accepted"
	// LogConfigurationInForce reports that a new configuration is in force on
	// this host.
	LogConfigurationInForce LogEvent = "configuration_in_force"
	// LogServerEntryOutdated reports an entry of a backend server that is older than
	// what is known of the process, for instance from an older copy of the store. It
	// has no effect.
	LogServerEntryOutdated LogEvent = "server_entry_outdated"
	// LogConfigurationRefused reports why a configuration was rejected.
	LogConfigurationRefused LogEvent = "configuration_refused"
	// LogConfigurationFetchFailed reports that fetching a configuration from
	// another entry host failed.
	LogConfigurationFetchFailed LogEvent = "configuration_fetch_failed"
	// LogConfigurationReadFailed reports that reading the configuration from
	// the store failed.
	LogConfigurationReadFailed LogEvent = "configuration_read_failed"
	// LogConfigurationReadRecovered reports that reading the configuration from
	// the store succeeds again.
	LogConfigurationReadRecovered LogEvent = "configuration_read_recovered"
	// LogConfigurationStoreOlder reports that the configuration in the store is
	// older than the one in force on this host.
	LogConfigurationStoreOlder LogEvent = "configuration_store_older"
	// LogServerKnown reports a new or changed backend server.
	LogServerKnown LogEvent = "server_known"
	// LogServersKnown reports how many backend servers are new or have changed at once,
	// in place of a line for each.
	LogServersKnown LogEvent = "servers_known"
	// LogServerGone reports that a backend server was removed.
	LogServerGone LogEvent = "server_gone"
	// LogServerLeavingSeen reports that a backend server has said in an answer
	// to the entry host "witness" that it is leaving. This host sends it nothing
	// new.
	LogServerLeavingSeen LogEvent = "server_leaving_seen"
	// LogServerBackedOff reports that a backend server has turned a request away
	// and gets nothing from this host for "left_ms".
	LogServerBackedOff LogEvent = "server_backed_off"
	// LogServerLimit reports that a backend server takes "per_second" requests a
	// second from all entry hosts together, or has ended its limit if that is zero.
	// "seen" is false if another entry host has reported it.
	LogServerLimit LogEvent = "server_limit"
	// LogLimitNotShared reports that another entry host was not reached to report
	// the limit of a backend server, or to take a permit for a request.
	LogLimitNotShared LogEvent = "limit_not_shared"
	// LogPlacesContended reports that this host, as the owner of the plain service
	// "service", begins to assign its calls to servers, or ends that if "contended"
	// is false.
	LogPlacesContended LogEvent = "places_contended"
	// LogPlacesOwnerLost reports that the owner "peer" of a contended service did not
	// answer in time. This host decides alone for a second, and then queries again.
	LogPlacesOwnerLost LogEvent = "places_owner_lost"
	// LogPlacesNotShared reports that another entry host was not reached to report
	// calls that ended, or that a service is contended.
	LogPlacesNotShared LogEvent = "places_not_shared"
	// LogLimitOwnerLost reports that the owner of the limits of client accounts, the
	// entry host "peer", does not answer, or, if "gone" is true, certainly grants
	// nothing, so that the next host acts in its place.
	LogLimitOwnerLost LogEvent = "limit_owner_lost"
	// LogLimitOwnerRegained reports that the entry host "peer" answers again.
	LogLimitOwnerRegained LogEvent = "limit_owner_regained"
	// LogServersCut reports that this host reaches no backend server, while the entry
	// host "peer" does. Connections to servers go through other hosts from now on.
	LogServersCut LogEvent = "servers_cut"
	// LogServersReached reports that this host reaches backend servers again, "after_ms"
	// after LogServersCut.
	LogServersReached LogEvent = "servers_reached"
	// LogServerEntryRefused reports why the store entry of a backend server was
	// rejected.
	LogServerEntryRefused LogEvent = "server_entry_refused"
	// LogLeavingBackendServers reports which backend servers receive no new
	// work because they are leaving.
	LogLeavingBackendServers LogEvent = "leaving_backend_servers"
	// LogHostsChanged reports how many entry hosts were added and removed since
	// the line before, how many are known, and the names of some of them.
	LogHostsChanged LogEvent = "hosts_changed"
	// LogHostSetAside reports that an entry host is not used for some time
	// because it did not answer this one.
	LogHostSetAside LogEvent = "host_set_aside"
	// LogHostEntryRefused reports why the store entry of an entry host was
	// rejected.
	LogHostEntryRefused LogEvent = "host_entry_refused"
	// LogHostState reports a change of another entry host's state, as seen by
	// this host.
	LogHostState LogEvent = "host_state"
	// LogRegistrationFailed reports that renewing or writing this host's own
	// entry in the store failed.
	LogRegistrationFailed LogEvent = "registration_failed"
)

// Events of calls and requests.
const (
	// LogAdmissionClosed reports that no new requests are admitted.
	LogAdmissionClosed LogEvent = "admission_closed"
	// LogCallRefused reports why an HTTP request was rejected before it became
	// a call.
	LogCallRefused LogEvent = "call_refused"
	// LogIdleConnectionsClosed reports how many connections of callers were
	// closed because they had been idle for too long.
	LogIdleConnectionsClosed LogEvent = "idle_connections_closed"
	// LogCallRetried reports why a call is sent to another server. "assigned" is set if
	// the owner of a contended service had selected the server before.
	LogCallRetried LogEvent = "call_retried"
	// LogCallTunnelled reports that a request for a call goes to a backend server through
	// the entry host "peer".
	LogCallTunnelled LogEvent = "call_tunnelled"
	// LogCallBrokenOff reports that a backend server broke off a call, "ran_ms" after
	// the call was sent. "traits" holds hashes by which the same request of the same
	// caller is recognized when it comes again.
	LogCallBrokenOff LogEvent = "call_broken_off"
	// LogCallFailed reports why an attempt to run a call on a server failed.
	LogCallFailed LogEvent = "call_failed"
	// LogCallEnded is the last event of a call. It reports the status, the duration and, if the
	// host is stopping, the time since LogLeaving ("stopping_ms").
	LogCallEnded LogEvent = "call_ended"
	// LogEnginesGranted reports the engines that a call was granted, the time
	// that it waited for them, and the prompt and answer lengths on which the
	// decision was based.
	LogEnginesGranted LogEvent = "engines_granted"
	// LogEndUnconfirmed reports an answer that ended with its connection, and why its
	// server could not be shown to be running after that.
	LogEndUnconfirmed LogEvent = "end_unconfirmed"
	// LogEngineFailed reports that a call failed on an engine.
	LogEngineFailed LogEvent = "engine_failed"
	// LogCacheRefused reports that a decode engine refused to import a KV
	// cache.
	LogCacheRefused LogEvent = "cache_refused"
	// LogReleaseFailed reports that releasing a KV cache failed.
	LogReleaseFailed LogEvent = "release_failed"
	// LogVersionNotSent reports that another entry host was not reached to keep
	// or to tell the software version that began a stream.
	LogVersionNotSent LogEvent = "version_not_sent"
	// LogVersionUnknown reports that the software version that began a resumed stream
	// is not recorded on any entry host. The servers have had a number of versions
	// ("versions"), or there may be one that this host has not read yet ("current" is
	// false) or that was forgotten ("complete" is false), or another service may have begun
	// the stream ("moved" is true).
	LogVersionUnknown LogEvent = "version_unknown"
	// LogVersionsMixed reports whether streams of several software versions of the
	// service "service" may be resumed ("mixed"), so that the version of each stream
	// is written to the store.
	LogVersionsMixed LogEvent = "versions_mixed"
	// LogVersionWithheld reports whether streams that can be resumed are kept from the
	// servers of a software version of the service "service", because a copy of the
	// key-value service may lack the version.
	LogVersionWithheld LogEvent = "version_withheld"
	// LogVersionsNotWritten reports that the software versions under the key "key"
	// could not be written to the store, or not be removed. That is tried again.
	LogVersionsNotWritten LogEvent = "versions_not_written"
	// LogVersionsNotRead reports that software versions could not be read from the
	// store, or that there are no proper ones under the key "key".
	LogVersionsNotRead LogEvent = "versions_not_read"
	// LogTraitsQuarantined reports that requests with all of "traits" get no server
	// for "left_ms", because each server that began such a request ended. "strikes"
	// counts the quarantines of these traits. "found" is false if another entry host
	// has found it.
	LogTraitsQuarantined LogEvent = "traits_quarantined"
	// LogEvidenceNotSent reports that another entry host was not reached to send
	// or fetch evidence of requests that crash servers. It fetches the evidence later.
	LogEvidenceNotSent LogEvent = "evidence_not_sent"
	// LogQuarantineNotWritten reports that the quarantine with the key "key", or the
	// crashes under it, could not be written to the store, or not be removed. That is
	// tried again.
	LogQuarantineNotWritten LogEvent = "quarantine_not_written"
	// LogQuarantineNotRead reports that the store has no proper quarantine, or no proper
	// crashes, under the key "key".
	LogQuarantineNotRead LogEvent = "quarantine_not_read"
	// LogStreamRetried reports why a stream is continued on another engine, and
	// after which event.
	LogStreamRetried LogEvent = "stream_retried"
	// LogStreamResumed reports that a stream that broke off is resumed on the
	// same engine.
	LogStreamResumed LogEvent = "stream_resumed"
	// LogStreamEnded reports the latencies and the length of a stream, the framing of the
	// response of the engine that ended it, and the identifiers of the first and the last
	// event from that engine.
	LogStreamEnded LogEvent = "stream_ended"
	// LogStreamCut reports a stream that has ended because the connection of its caller has, what
	// it was waiting for ("stage": grant, prefill, header or events) and for how long after its
	// last request to an engine, the events that its caller has, and its expected and its
	// maximum number of tokens.
	LogStreamCut LogEvent = "stream_cut"
	// LogSilentStreamStays reports that a stalled stream stays on its engine
	// because no other engine was granted.
	LogSilentStreamStays LogEvent = "silent_stream_stays"
	// LogAnswerTakenOver reports that this host has taken over a request from a
	// dead host.
	LogAnswerTakenOver LogEvent = "answer_taken_over"
	// LogAttemptFailed reports that an attempt of a generation failed.
	LogAttemptFailed LogEvent = "attempt_failed"
	// LogOrphanCancelled reports that a request left by a dead host was
	// cancelled on an engine.
	LogOrphanCancelled LogEvent = "orphan_cancelled"
	// LogCancelGivenUp reports that cancelling a request on an engine failed
	// and is not retried any more.
	LogCancelGivenUp LogEvent = "cancel_given_up"
	// LogClaimGivenUp reports that this host gives up a claim, because it will
	// not dispatch the request.
	LogClaimGivenUp LogEvent = "claim_given_up"
	// LogRecordNotUpdated reports that updating the directory record of a
	// request failed.
	LogRecordNotUpdated LogEvent = "record_not_updated"
)

// Events of engines.
const (
	// LogLoadUnknown reports that the load of an engine could not be read.
	LogLoadUnknown LogEvent = "load_unknown"
	// LogOrderGiven reports an order to an engine and its outcome.
	LogOrderGiven LogEvent = "order_given"
	// LogOrderFailed reports why an order could not be sent to an engine.
	LogOrderFailed LogEvent = "order_failed"
)
