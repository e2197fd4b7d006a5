package sardineknot

// LogEvent names what a line of the log tells. It is the field "event" of the
// line. Lines about a call have the field "request" with its identifier; those
// about a backend server or an entry host have "server" or "peer". Durations end
// with "_ms" and are in milliseconds. No line holds a part of a prompt, a body or
// a header.
type LogEvent string

// String implements fmt.Stringer.
func (e LogEvent) String() string { return string(e) }

// The life of a process.
const (
	// LogStarted tells that the process serves.
	LogStarted LogEvent = "started"
	// LogListening tells the address that a process serves on.
	LogListening LogEvent = "listening"
	// LogConfirmed tells that an entry host has been confirmed as a member.
	LogConfirmed LogEvent = "confirmed"
	// LogLeaving tells that the process was asked to stop.
	LogLeaving LogEvent = "leaving"
	// LogDrained tells that a process that stops has no calls left.
	LogDrained LogEvent = "drained"
	// LogStopped is the last event of a process.
	LogStopped LogEvent = "stopped"
	// LogFailed tells why the process ends.
	LogFailed LogEvent = "failed"
	// LogPaused tells that the process did not run for a time.
	LogPaused LogEvent = "paused"
	// LogSettingsChanged tells which settings are in force anew.
	LogSettingsChanged LogEvent = "settings_changed"
	// LogSettingsRefused tells why changed settings are not in force.
	LogSettingsRefused LogEvent = "settings_refused"
	// LogReloadAsked tells that a signal asked for the settings to be read.
	LogReloadAsked LogEvent = "reload_asked"
	// LogMetricsNotSent tells that a monitor did not read all metrics.
	LogMetricsNotSent LogEvent = "metrics_not_sent"
)

// The store and what is read from it.
const (
	// LogStoreLost tells that the store no longer answers.
	LogStoreLost LogEvent = "store_lost"
	// LogStoreRegained tells that the store answers again, and after how long.
	LogStoreRegained LogEvent = "store_regained"
	// LogStoreReachable tells that the store answers an entry host that starts.
	LogStoreReachable LogEvent = "store_reachable"
	// LogStoreHistoryLost tells that the store has discarded changes, so that all keys are read.
	LogStoreHistoryLost LogEvent = "store_history_lost"
	// LogConfigurationAccepted tells that the store holds another configuration.
	LogConfigurationAccepted LogEvent = "configuration_accepted"
	// LogConfigurationInForce tells that a configuration decides from now on.
	LogConfigurationInForce LogEvent = "configuration_in_force"
	// LogConfigurationRefused tells why a configuration does not hold.
	LogConfigurationRefused LogEvent = "configuration_refused"
	// LogConfigurationFetchFailed tells that a configuration was not had from another host.
	LogConfigurationFetchFailed LogEvent = "configuration_fetch_failed"
	// LogConfigurationReadFailed tells that a configuration was not read.
	LogConfigurationReadFailed LogEvent = "configuration_read_failed"
	// LogConfigurationReadRecovered tells that configurations are read again.
	LogConfigurationReadRecovered LogEvent = "configuration_read_recovered"
	// LogConfigurationStoreOlder tells that the store holds an older configuration than this host.
	LogConfigurationStoreOlder LogEvent = "configuration_store_older"
	// LogServerKnown tells what is known of a backend server.
	LogServerKnown LogEvent = "server_known"
	// LogServerGone tells that a backend server is no longer known.
	LogServerGone LogEvent = "server_gone"
	// LogServerEntryRefused tells why the entry of a backend server is not used.
	LogServerEntryRefused LogEvent = "server_entry_refused"
	// LogLeavingBackendServers tells which backend servers get no new work.
	LogLeavingBackendServers LogEvent = "leaving_backend_servers"
	// LogHostJoined tells that another entry host is known.
	LogHostJoined LogEvent = "host_joined"
	// LogHostGone tells that another entry host is no longer known.
	LogHostGone LogEvent = "host_gone"
	// LogHostSetAside tells that another entry host does not answer this one.
	LogHostSetAside LogEvent = "host_set_aside"
	// LogHostEntryRefused tells why the entry of an entry host is not used.
	LogHostEntryRefused LogEvent = "host_entry_refused"
	// LogHostState tells the state that this host takes another one to be in.
	LogHostState LogEvent = "host_state"
	// LogRegistrationFailed tells that this host did not write its own entry.
	LogRegistrationFailed LogEvent = "registration_failed"
)

// Calls.
const (
	// LogAdmissionClosed tells why no new requests are admitted.
	LogAdmissionClosed LogEvent = "admission_closed"
	// LogCallRefused tells why a request did not become a call.
	LogCallRefused LogEvent = "call_refused"
	// LogCallRetried tells why a call is sent to another server.
	LogCallRetried LogEvent = "call_retried"
	// LogCallFailed tells why a call was not answered.
	LogCallFailed LogEvent = "call_failed"
	// LogCallEnded is the last event of a call, with its status and time.
	LogCallEnded LogEvent = "call_ended"
	// LogEnginesGranted tells which engines a call got, after what wait, and by which lengths.
	LogEnginesGranted LogEvent = "engines_granted"
	// LogEngineFailed tells how an engine failed a call.
	LogEngineFailed LogEvent = "engine_failed"
	// LogCacheRefused tells that a decode engine did not take a KV cache.
	LogCacheRefused LogEvent = "cache_refused"
	// LogReleaseFailed tells that a KV cache was not freed.
	LogReleaseFailed LogEvent = "release_failed"
	// LogStreamRetried tells why a stream goes on at another engine, and after which event.
	LogStreamRetried LogEvent = "stream_retried"
	// LogStreamResumed tells that a stream goes on at another engine.
	LogStreamResumed LogEvent = "stream_resumed"
	// LogStreamEnded tells the times and the length of a stream.
	LogStreamEnded LogEvent = "stream_ended"
	// LogSilentStreamStays tells that a silent stream has no other engine to go to.
	LogSilentStreamStays LogEvent = "silent_stream_stays"
	// LogAnswerTakenOver tells that this host answers a request of a dead one.
	LogAnswerTakenOver LogEvent = "answer_taken_over"
	// LogAttemptFailed tells how an attempt of a generation failed.
	LogAttemptFailed LogEvent = "attempt_failed"
	// LogOrphanCancelled tells that an engine was told to drop the request of a dead host.
	LogOrphanCancelled LogEvent = "orphan_cancelled"
	// LogCancelGivenUp tells that an engine was not told to drop a request.
	LogCancelGivenUp LogEvent = "cancel_given_up"
	// LogClaimGivenUp tells that a claim was not released.
	LogClaimGivenUp LogEvent = "claim_given_up"
	// LogRecordNotUpdated tells that the record of a request was not written.
	LogRecordNotUpdated LogEvent = "record_not_updated"
)

// Engines.
const (
	// LogLoadUnknown tells that an engine did not report its load.
	LogLoadUnknown LogEvent = "load_unknown"
	// LogOrderGiven tells of an order to an engine, and of its outcome.
	LogOrderGiven LogEvent = "order_given"
	// LogOrderFailed tells why an engine was not given an order.
	LogOrderFailed LogEvent = "order_failed"
)
