//! The `name=value` parts of a line.

use std::fmt;
use std::str::FromStr;

/// What is wrong with a line: the field and the reason.
#[derive(Debug)]
pub struct Problem {
    field: String,
    reason: String,
}

impl Problem {
    pub fn new(field: &str, reason: &str) -> Self {
        Problem { field: field.to_owned(), reason: reason.to_owned() }
    }

    pub fn output(error: std::io::Error) -> Self {
        Problem::new("standard output", &error.to_string())
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

/// Fields whose value is text up to the end of the line.
const TEXT: [&str; 2] = ["options", "what"];

/// The parts of one line.
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    pub fn parse(mut rest: &'a str) -> Result<Self, Problem> {
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let Some((name, after)) = rest.split_once('=') else {
                return Err(Problem::new(rest, "not name=value"));
            };
            if name.is_empty() || name.contains(' ') {
                return Err(Problem::new(name.trim(), "not name=value"));
            }
            let value = if TEXT.contains(&name) { after } else { after.split(' ').next().unwrap_or("") };
            fields.push((name, value));
            rest = after[value.len()..].strip_prefix(' ').unwrap_or("");
        }
        Ok(Fields(fields))
    }

    /// The value of a field, if it is there.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|f| f.0 == name).map(|f| f.1)
    }

    pub fn text(&self, name: &str) -> Result<&'a str, Problem> {
        self.get(name).ok_or_else(|| Problem::new(name, "missing"))
    }

    /// A required number.
    pub fn whole<T: FromStr>(&self, name: &str) -> Result<T, Problem> {
        let text = self.text(name)?;
        text.parse().map_err(|_| Problem::new(name, &format!("not a fit number: {text}")))
    }

    /// A number that may be absent.
    pub fn whole_or<T: FromStr>(&self, name: &str, absent: T) -> Result<T, Problem> {
        if self.get(name).is_some() { self.whole(name) } else { Ok(absent) }
    }

    pub fn flag(&self, name: &str) -> Result<bool, Problem> {
        match self.get(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(Problem::new(name, &format!("not 0 or 1: {other}"))),
        }
    }
}
