// Package trace finds the log lines of one request, endpoint or configuration version in
// the logs of any number of gateways and prints them in chronological order.
package trace
