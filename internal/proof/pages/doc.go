// Package pages checks that the tests named in docs/FAILURES.md exist.
package pages
