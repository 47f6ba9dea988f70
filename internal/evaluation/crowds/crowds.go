// Package crowds tests that crowds of callers that are not controlled neither end
// an instance nor keep ordinary callers out. Its tests start the program and its
// stand-ins as processes, and run only with the flag -crowds.
package crowds
