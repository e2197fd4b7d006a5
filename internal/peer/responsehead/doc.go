// Package responsehead checks the heads of HTTP/1.1 responses: the status line, and the field
// lines up to the empty line (RFC 9112, sections 2 to 6; RFC 9110, section 5).
//
// net/http accepts heads that break the grammar. A field whose name has a blank in it is passed
// on, or is unknown and does not frame the body any more. A status below 200 makes the response
// an interim one, so that the bytes after it are read as the response. A server that sends such
// a head is faulty, and its response is an error.
//
// A head may deviate from the grammar where the RFC lets a recipient accept that and the meaning
// is clear: all lines may end with LF alone, and the reason and the blank before it may be missing.
package responsehead
