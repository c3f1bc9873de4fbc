// Package testutil holds what the tests of several packages need: waiting for an event,
// scripted servers, and the log of a program under test. Nothing in it sleeps for a
// fixed time to see whether something happens, and no port is taken and given back.
package testutil
