// Package httpguard protects against HTTP request smuggling. It rejects requests whose
// end two parsers could see at different places: two lengths, a length together with
// chunks, lines that do not end in CR LF, folded lines, and spaces before a colon.
//
// It sits between a connection and net/http. A request head is passed on only when it is
// complete and well-formed. A malformed one is replaced by a head that net/http rejects
// with status 400.
package httpguard
