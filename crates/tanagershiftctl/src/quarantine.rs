//! Prompt parts and requests that crash replicas.

use tanagershift::voter::command::{Effect, Lift, Order};

use crate::{
    arguments,
    commands::{ASK_TIMEOUT, Error, Group, rows, user},
    table,
};

impl Group {
    /// Shows the prompt parts and requests that are suspected or convicted, or lifts one.
    ///
    /// # Errors
    ///
    /// No leader answered, or the key is not in quarantine.
    pub(crate) async fn quarantine(&self, quarantine: arguments::Quarantine) -> Result<(), Error> {
        let Some(key) = quarantine.lift else {
            return self.show_quarantine().await;
        };
        let operator = quarantine.operator.unwrap_or_else(user);
        let order = Order::Lift(Lift::new(key, operator));
        match self.propose(order, ASK_TIMEOUT).await? {
            Effect::Done(reason) if !reason.is_empty() => Err(Error::Refused { reason }),
            _ => {
                println!("{key} is lifted");
                Ok(())
            }
        }
    }

    async fn show_quarantine(&self) -> Result<(), Error> {
        let list = self.query("quarantine", 0, 0).await?;
        if self.json {
            println!("{list}");
            return Ok(());
        }
        let keys = ["key", "convicted", "crashes", "services"];
        table::print(&keys, &rows(&list, &keys));
        Ok(())
    }
}
