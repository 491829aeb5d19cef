// Package httpguard refuses requests whose end two readers could see at
// different places: two lengths, a length beside chunks, lines that do not end
// in CR LF, folded lines, and spaces before a colon.
//
// It stands between a connection and net/http. A request head is passed on only
// when it is whole and sound; one that is not is replaced by a head that
// net/http refuses with status 400.
package httpguard
