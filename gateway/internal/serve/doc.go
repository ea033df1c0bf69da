// Package serve answers callers: it finds a request's route and team, has it
// placed, sends it to the upstream and passes the answer on, event by event for
// streams.
//
// What callers are told is true: 429 and 503 promise that the request was not
// run and will not be; after anything that may have run there is no promise.
package serve
