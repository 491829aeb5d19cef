// Package logsink writes log lines without ever holding up the caller: lines
// wait in a bounded buffer for a writer of their own, and what does not fit is
// counted and told in a line of its own.
package logsink
