// Package hold keeps the streams that a router accounts for while their readers come and go.
// It owns the reservations of these streams and the timers that end those that are not resumed in
// time. It calls no engine and no other router itself.
package hold
