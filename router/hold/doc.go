// Package hold keeps the streams that a router accounts for while their readers come and go.
// It owns the reservations of these streams and the timers that end the ones that nobody
// resumes. It calls no engine and no other router itself.
package hold
