// Package shares divides scarce capacity between client accounts.
//
// Accounts that need more than there is are served in turn by what their requests
// cost, not by how many they are: start-time fair queueing. See Goyal, Vin and Cheng,
// "Start-time Fair Queueing", 1997. An account that was idle gains no credit for that,
// and one that is alone gets everything.
//
// Urgency goes before fairness, so that under a lasting overload the accounts with the
// least urgent requests would get nothing. An account that is served far less often
// than all together therefore counts as starved and may go first for once.
package shares
