// Package driver holds the cases of the review. Each starts a small fleet on loopback addresses,
// plays its clients, upstreams and platform, and checks one rule. All code is in test files;
// review/build.sh builds it as a program.
package driver
