// Package connlimit bounds what a process holds for those that connect to it: the number of
// their connections and the memory for what arrives on them. Order chooses what is given up
// when a bound is reached, HeadCost estimates the memory of a request's head as it arrives,
// and Listener applies both to a server. Order and HeadCost do nothing by themselves. Socket and
// Refusal look at what has arrived on a connection and refuse it without waiting.
package connlimit
