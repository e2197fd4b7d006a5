// Package evidence finds the parts of prompts, and the requests, that crash servers.
//
// A part may crash each engine that begins to write an answer on it, whatever
// else the prompt holds. When an engine ends, all requests break off that it has
// just begun or was about to begin: the one that crashed it and its neighbours.
// Each of them is a suspect. A part is put into quarantine once enough crashes
// have it among the parts of their suspects, if no answer on it has begun since
// without a crash. More crashes are needed if there were such answers before.
//
// Several engines that end at the same moment, as those of a failed rack do,
// count as one crash, and a process of an engine can crash once only. A crash
// that a quarantined part explains is no evidence against other parts. Crashes
// that no part can have caused, because answers on all parts have begun since,
// raise the number of crashes that is needed. Parts that always occurred together
// are put into quarantine together: only requests with all of them are barred.
//
// A whole request may end servers as well, when its caller sends it again and again.
// It is judged by its exact and broad traits, from the same crashes: by those of which
// no other request and no part of a prompt is a better explanation. From a number of
// crashes on it is held after each of them, until the crash is settled.
//
// A quarantine ends after some time. For some time after that, a single crash
// puts its traits into quarantine again, for twice as long.
package evidence
