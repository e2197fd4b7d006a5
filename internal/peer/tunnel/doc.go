// Package tunnel connects an entry host to backend servers through another entry
// host.
//
// A tunnel is an HTTP/2 stream between two hosts, whose request body and response
// body carry what is sent to the server and what it sends. The response has status
// 200 as soon as the other host has connected to the server, so that a request is
// known not to have been sent if a tunnel does not open. When the server closes or
// resets the connection, the body ends, and a field after it says which: a stream that
// ends otherwise shows nothing about the server.
//
// A host opens tunnels only with connections of its own, never through a third one.
package tunnel
