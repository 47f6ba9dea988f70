// Package doccheck checks that the tests named in docs/FAILURES.md exist.
package doccheck
