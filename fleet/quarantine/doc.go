// Package quarantine finds what crashes the upstreams that run it, and decides when a request
// with it may be sent to an upstream. Its entry point is Register, which New returns.
//
// A request that crashes every server that handles it is known as a query of death
// (Beyer et al., Site Reliability Engineering, 2016, chapter 22) or a poison message.
// The cause may be the request itself, which comes again, or a segment of a prompt that many
// requests share: evidence is held against subjects of both kinds alike. A crash ends all
// requests of the upstream, most of which are sound. The evidence against a subject is a
// sequence of rounds: crashes of upstreams with an unanswered request that has the subject,
// each request sent after the crash of the round before. Upstreams that crash at the same
// time are one round. A complete answer to a request that has the subject clears it, and so does
// a part of an answer if it is a segment, unless upstreams crashed in the middle of answers to
// requests with it. So a popular one is cleared by other requests within moments of an
// unrelated crash. The caller decides which crashes are evidence: one in the middle of an answer
// is against the request itself, and against segments that lack complete answers.
//
// A request may be placed at several services. Evidence against it counts at all of them, and
// a complete answer clears it; what was known from services that did not answer it is then held
// against the request at those, which is a subject of its own.
//
// After restrictRounds rounds a subject is quarantined: its requests are refused, but for
// one trial at a time, sent to an upstream with few other requests, after waits that grow
// with each failed trial. A trial fails if its upstream crashes and no more than one other
// does at that moment. Subjects that were at the same crashes are quarantined together; a
// request that has some of them and not all is sent as a trial at once, since its answer
// distinguishes them: that to a sound request with the same segment clears the segment and
// leaves the request that crashes upstreams. Testing single requests in turn rather than groups is
// cheap here, since few subjects are suspects at any time (Dorfman, "The Detection of
// Defective Members of Large Populations", Annals of Mathematical Statistics 14, 1943).
//
// A Register does no I/O and is not safe for concurrent use.
package quarantine
