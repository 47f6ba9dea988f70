// Package processes tests the program end to end, as separate processes. Its
// tests start instances and stand-ins for the platform and the upstreams on
// loopback addresses, kill and pause them, and cut or silence connections.
package processes
