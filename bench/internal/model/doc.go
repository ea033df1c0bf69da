// Package model is a discrete-event simulation that compares policies for sharing
// upstream capacity among teams; Run simulates one policy on one workload.
//
// It drives the state machines of package share under virtual time. Engines,
// arrivals and message delays are simple models at the interfaces of those state
// machines; processes, disks and connections are not modelled. Every policy sees
// the same seeds. A run measures the fairness gap, the utilisation and the control
// traffic, and Check compares them with the stated bounds.
package model
