// Package budget bounds the retries of all VMs together without a coordinator. Each VM
// gets an even part of the fixed allowance and what its own requests earn. Until it has run for a
// whole window it uses only what a process before it cannot have used.
package budget
