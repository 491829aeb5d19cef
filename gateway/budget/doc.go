// Package budget bounds the sends beyond the first one of each request, over
// all VMs, without a coordinator: each VM takes an even part of the fixed
// allowance and the allowance that its own requests earn.
package budget
