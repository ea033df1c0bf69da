// Package sidecar admits callers' requests and dispatches them to sidecars. Its entry
// point is Dispatcher.Do. A Coordinator keeps links to sidecars and queues waiting
// requests in one share.Placer per service until a sidecar grants one of them a slot.
// A Runner sends an attempt of the request to that sidecar and streams the answer back.
// Non-idempotent requests are claimed at the controllers first, so that they run at
// most once.
package sidecar
