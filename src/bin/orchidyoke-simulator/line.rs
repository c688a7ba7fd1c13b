//! One line of the simulator's protocol, which consists of a word and `name=value` fields, and its errors.

use std::fmt;
use std::str::FromStr;

/// An error in a line or in writing a line.
#[derive(Debug)]
pub enum LineError {
    /// A field or word is missing or not valid here.
    Invalid {
        /// The field or word.
        subject: String,
        /// Why it is not valid.
        reason: String,
    },
    /// Standard output cannot be written.
    Output(std::io::Error),
}

impl LineError {
    /// Creates the error for the field or word `subject`, which is missing or not valid because of `reason`.
    pub fn invalid(subject: &str, reason: &str) -> Self {
        LineError::Invalid { subject: subject.to_owned(), reason: reason.to_owned() }
    }
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LineError::Invalid { subject, reason } => write!(f, "{subject}: {reason}"),
            LineError::Output(error) => write!(f, "standard output: {error}"),
        }
    }
}

impl From<std::io::Error> for LineError {
    fn from(error: std::io::Error) -> Self {
        LineError::Output(error)
    }
}

/// Names of the fields whose value is all text up to the end of the line.
const TEXT_FIELDS: [&str; 2] = ["options", "what"];

struct Field<'a> {
    name: &'a str,
    value: &'a str,
}

/// The fields of one line.
pub struct Fields<'a>(Vec<Field<'a>>);

impl<'a> Fields<'a> {
    /// Parses the part of a line after its word.
    pub fn parse(mut rest: &'a str) -> Result<Self, LineError> {
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let Some((name, after)) = rest.split_once('=') else {
                return Err(LineError::invalid(rest, "not name=value"));
            };
            if name.is_empty() || name.contains(' ') {
                return Err(LineError::invalid(name.trim(), "not name=value"));
            }
            let is_text = TEXT_FIELDS.contains(&name);
            let value = if is_text { after } else { after.split(' ').next().unwrap_or("") };
            fields.push(Field { name, value });
            rest = after[value.len()..].strip_prefix(' ').unwrap_or("");
        }
        Ok(Fields(fields))
    }

    /// Returns the value of a field; `None` if the line does not have it.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|field| field.name == name).map(|field| field.value)
    }

    /// Returns the value of a required field.
    pub fn text(&self, name: &str) -> Result<&'a str, LineError> {
        self.get(name).ok_or_else(|| LineError::invalid(name, "missing"))
    }

    /// Returns the number in a required field.
    pub fn number<T: FromStr>(&self, name: &str) -> Result<T, LineError> {
        let text = self.text(name)?;
        text.parse().map_err(|_| LineError::invalid(name, &format!("not a valid number: {text}")))
    }

    /// Returns the number in an optional field; `absent` if the line does not have it.
    pub fn number_or<T: FromStr>(&self, name: &str, absent: T) -> Result<T, LineError> {
        if self.get(name).is_some() { self.number(name) } else { Ok(absent) }
    }

    /// Returns the flag in an optional field, which is 0 or 1; an absent field means 0.
    pub fn flag(&self, name: &str) -> Result<bool, LineError> {
        match self.get(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(LineError::invalid(name, &format!("not 0 or 1: {other}"))),
        }
    }
}
