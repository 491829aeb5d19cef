// Package warmup limits the requests to endpoints that are cold.
//
// A cold endpoint crashes if it gets more requests than its service states. All VMs together must keep that rate without
// exchanging messages, and no second may have many more requests than an average one. So each VM may send to a cold
// endpoint in turns that come up at fixed intervals from a random start, and that expire if they are not used.
package warmup
